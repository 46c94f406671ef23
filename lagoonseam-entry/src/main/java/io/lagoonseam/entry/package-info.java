/** The entry node: the daemon that routes requests of callers to upstreams, usable as a library. */
package io.lagoonseam.entry;
