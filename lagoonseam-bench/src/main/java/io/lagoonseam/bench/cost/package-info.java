/** What the router itself costs, against the caller going straight to the upstream. */
package io.lagoonseam.bench.cost;
