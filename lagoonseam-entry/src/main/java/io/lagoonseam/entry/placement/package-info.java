/** The exchange between the nodes that forward requests and the nodes that act as homes of services. */
package io.lagoonseam.entry.placement;
