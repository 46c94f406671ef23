package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.bench.traffic.TrafficProfile;

/**
 * The traffic and faults that each compared policy meets.
 *
 * @param name the name of the experiment
 * @param shape the fleet
 * @param profile the traffic
 * @param faults the faults
 * @param windowStartMillis the start of the window in which goodput is counted, from the start of the traffic
 * @param windowEndMillis its end
 */
public record PolicyScenario(
        String name,
        FleetShape shape,
        TrafficProfile profile,
        FaultScript faults,
        long windowStartMillis,
        long windowEndMillis) {}
