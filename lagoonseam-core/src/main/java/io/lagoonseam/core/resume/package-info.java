/** Which software version began a stream, so that it goes on at no other one. */
package io.lagoonseam.core.resume;
