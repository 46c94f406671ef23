/** A demo, which runs the whole system in one process. */
package io.lagoonseam.bench.demo;
