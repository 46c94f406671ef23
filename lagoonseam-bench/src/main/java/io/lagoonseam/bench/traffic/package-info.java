/** Open-loop traffic with unknown answer lengths, whose every answer is checked. */
package io.lagoonseam.bench.traffic;
