/** Locks with a checked lock ordering. */
package io.lagoonseam.core.lock;
