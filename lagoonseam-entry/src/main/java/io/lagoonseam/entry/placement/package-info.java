/** Placement at a node: the controllers of the services whose lease it may hold, and the demand it has seen. */
package io.lagoonseam.entry.placement;
