package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.entry.dispatch.ServicePolicies;
import java.util.List;

/**
 * Policies under a name in reports.
 *
 * @param name the name in {@code result.json}
 * @param chosen whether the daemon runs them
 * @param policies the policies of each service
 */
public record ComparedPolicy(String name, boolean chosen, ServicePolicies policies) {

    /** The name of the policies that the daemon runs. */
    public static final String CHOSEN = "chosen";

    /**
     * Returns what every experiment compares.
     *
     * @return the chosen policies and two baselines
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
