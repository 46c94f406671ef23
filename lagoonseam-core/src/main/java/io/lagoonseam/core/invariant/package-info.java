/** Invariants that are checked at run time. */
package io.lagoonseam.core.invariant;
