/** The platform as a peer: object API, VM list, and what is kept there. */
package io.lagoonseam.entry.platform;
