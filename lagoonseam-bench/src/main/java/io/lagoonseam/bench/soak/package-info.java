/**
 * A soak of nodes as separate processes under signals and under workers that change, checked by an oracle of what
 * callers and workers saw.
 */
package io.lagoonseam.bench.soak;
