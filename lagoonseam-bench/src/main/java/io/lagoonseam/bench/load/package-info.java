/** A load run against a system that runs elsewhere, with its report. */
package io.lagoonseam.bench.load;
