/**
 * Small stand-ins for the outside systems: model engine, plain service, platform and weight store. Each is an HTTP
 * program whose faults are switched on by {@code POST /faults}.
 */
package io.lagoonseam.standin;
