/** A first look at the whole system. */
package io.lagoonseam.bench.demo;
