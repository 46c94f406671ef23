/** Forwarding nodes with stand-ins of the platform's store and workers, in one process. */
package io.lagoonseam.bench.deployment;
