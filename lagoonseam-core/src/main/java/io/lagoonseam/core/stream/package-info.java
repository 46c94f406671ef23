/** When a stream of tokens counts as silent, and whether an answer is whole. */
package io.lagoonseam.core.stream;
