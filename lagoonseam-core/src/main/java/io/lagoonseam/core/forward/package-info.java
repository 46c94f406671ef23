/**
 * Forwarding of opaque requests by route: the configuration in force, the workers that are known, and the decisions on
 * each request. Nothing here does I/O or reads a clock; all of it belongs to one event loop.
 */
package io.lagoonseam.core.forward;
