/**
 * The entry node that forwards requests by route: it accepts requests of callers, sends them to workers, reads
 * configuration and worker records from the store, and exchanges state with the other nodes. All of it runs on one
 * event loop, since its VMs have less than one core.
 */
package io.lagoonseam.entry.forward;
