/** Locks with a stated order. */
package io.lagoonseam.core.lock;
