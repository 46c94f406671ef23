/** The entry node: the daemon between callers and upstreams, as a library. */
package io.lagoonseam.entry;
