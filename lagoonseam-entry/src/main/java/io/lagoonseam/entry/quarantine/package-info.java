/** Counts the crashes of workers over all nodes, and has all nodes know which requests are not to be sent. */
package io.lagoonseam.entry.quarantine;
