package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.DefaultAdmissionController;
import io.lagoonseam.core.routing.RoutingPolicy;
import io.lagoonseam.core.routing.WorkerSelector;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The policies of each service.
 *
 * @param admission creates the queues of a service
 * @param routing how workers are chosen and limited
 */
public record ServicePolicies(Supplier<AdmissionController> admission, RoutingPolicy routing) {

    /**
     * Creates policies with fixed limits for each worker, to compare them.
     *
     * @param admission creates the queues of a service
     * @param selector creates the routing of a service from a source of randomness
     */
    public ServicePolicies(
            Supplier<AdmissionController> admission, Function<RandomGenerator, WorkerSelector> selector) {
        this(admission, RoutingPolicy.fixed(selector));
    }

    /**
     * Returns the policies that the daemon runs.
     *
     * @return the standard policies
     */
    public static ServicePolicies standard() {
        return new ServicePolicies(DefaultAdmissionController::new, RoutingPolicy.standard());
    }
}
