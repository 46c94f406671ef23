/** Messages between entry nodes and their codec. */
package io.lagoonseam.wire;
