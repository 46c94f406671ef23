/** Load runs against a system that runs outside this process, with a report. */
package io.lagoonseam.bench.load;
