/** Checks of what must always hold, made inside the running program. */
package io.lagoonseam.core.invariant;
