package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.entry.dispatch.ServicePolicies;
import java.util.List;

/**
 * A named combination of an admission policy and a routing policy.
 *
 * @param name the name in {@code result.json} and in reports
 * @param chosen whether these are the policies that the daemon runs
 * @param policies the admission and routing policies of each service
 */
public record ComparedPolicy(String name, boolean chosen, ServicePolicies policies) {

    /** The name of the policies that the daemon runs. */
    public static final String CHOSEN = "chosen";

    /**
     * Returns the policies that every policy experiment compares.
     *
     * @return the chosen policies first, then two baselines
     */
    public static List<ComparedPolicy> all() {
        return List.of(
                new ComparedPolicy(CHOSEN, true, ServicePolicies.standard()),
                new ComparedPolicy(
                        "round robin + FIFO",
                        false,
                        new ServicePolicies(
                                OrderedAdmissionController::firstInFirstOut, random -> new RoundRobinSelector())),
                new ComparedPolicy(
                        "least in flight + static priority",
                        false,
                        new ServicePolicies(
                                OrderedAdmissionController::staticPriority, random -> new LeastInFlightSelector())));
    }
}
