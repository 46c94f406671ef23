/**
 * The entry node that forwards requests by route: callers on one side, workers on the other, the store and the other
 * nodes beside. All of it runs on one event loop, since its VMs have less than one core.
 */
package io.lagoonseam.entry.forward;
