/**
 * Provides small stand-ins for external systems: model engine, plain service, platform and weight store. Each is an
 * HTTP server whose faults are set by {@code POST /faults}.
 */
package io.lagoonseam.standin;
