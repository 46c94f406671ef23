package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.DefaultAdmissionController;
import io.lagoonseam.core.routing.RoutingPolicy;
import io.lagoonseam.core.routing.WorkerSelector;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Admission and routing policies that apply to each service.
 *
 * @param admission creates the admission controller of a service
 * @param routing selects workers and limits their concurrency
 */
public record ServicePolicies(Supplier<AdmissionController> admission, RoutingPolicy routing) {

    /**
     * Creates policies with a fixed concurrency limit for each worker, for experiments that compare selectors.
     *
     * @param admission creates the admission controller of a service
     * @param selector creates the worker selector of a service from a source of randomness
     */
    public ServicePolicies(
            Supplier<AdmissionController> admission, Function<RandomGenerator, WorkerSelector> selector) {
        this(admission, RoutingPolicy.fixed(selector));
    }

    /**
     * Returns the policies that entry nodes use in production.
     *
     * @return the default admission controller and the standard routing policy
     */
    public static ServicePolicies standard() {
        return new ServicePolicies(DefaultAdmissionController::new, RoutingPolicy.standard());
    }
}
