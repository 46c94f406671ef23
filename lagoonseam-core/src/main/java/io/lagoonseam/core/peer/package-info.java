/** Messages between entry nodes as decisions see them. */
package io.lagoonseam.core.peer;
