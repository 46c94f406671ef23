package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.bench.traffic.TrafficProfile;

/**
 * The fleet, traffic and faults under which each policy is compared.
 *
 * @param name the name of the experiment in reports
 * @param shape the size of the fleet
 * @param profile the traffic
 * @param faults the faults
 * @param windowStartMillis the start of the window in which goodput is counted, in milliseconds since the start of the
 *     traffic
 * @param windowEndMillis the end of the window, in milliseconds since the start of the traffic
 */
public record PolicyScenario(
        String name,
        FleetShape shape,
        TrafficProfile profile,
        FaultScript faults,
        long windowStartMillis,
        long windowEndMillis) {}
