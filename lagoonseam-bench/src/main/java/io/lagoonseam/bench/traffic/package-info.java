/** Generates open-loop traffic with answer lengths that the router does not know, and checks every answer. */
package io.lagoonseam.bench.traffic;
