/** Clients of the platform's object API and VM list, and the journals and the watch of upstreams that use them. */
package io.lagoonseam.entry.platform;
