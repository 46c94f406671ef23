/** Runs of the operation journal in virtual time, with fakes at its interfaces. */
package io.lagoonseam.bench.operation;
