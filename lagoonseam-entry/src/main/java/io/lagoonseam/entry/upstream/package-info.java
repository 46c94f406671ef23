/** Upstreams as peers: one attempt of a request, and load reports. */
package io.lagoonseam.entry.upstream;
