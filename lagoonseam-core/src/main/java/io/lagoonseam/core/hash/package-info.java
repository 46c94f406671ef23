/** Hashing with which all nodes agree on role holders and owners of items without exchanging messages. */
package io.lagoonseam.core.hash;
