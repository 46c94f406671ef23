/** Which engine holds which model: a lease for each service, a planner, and orders with fencing numbers. */
package io.lagoonseam.core.placement;
