/** How fast, and at what cost, a change of configuration is in force everywhere. */
package io.lagoonseam.bench.propagation;
