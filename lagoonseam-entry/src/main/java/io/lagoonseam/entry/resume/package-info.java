/** Exchanges with other nodes which software versions began streams. */
package io.lagoonseam.entry.resume;
