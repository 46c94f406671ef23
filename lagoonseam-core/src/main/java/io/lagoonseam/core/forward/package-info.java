/**
 * Forwards requests by route without interpreting their bodies: the configuration in force, the known workers, and the
 * decisions on each request. The classes do no I/O and read no clock. They are not thread-safe; all calls have to come
 * from one event loop.
 */
package io.lagoonseam.core.forward;
