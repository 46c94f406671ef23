/** Nodes over the stand-ins of the platform, in one process. */
package io.lagoonseam.bench.deployment;
