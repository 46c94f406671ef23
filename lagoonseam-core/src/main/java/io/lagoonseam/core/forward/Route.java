package io.lagoonseam.core.forward;

import java.util.List;

/**
 * Defines how the requests for one host and path prefix are handled.
 *
 * @param name its name
 * @param host the host that callers name
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether its requests may run more than once and whether their answers are streamed
 * @param timeoutMillis the maximum duration of a request, in milliseconds
 * @param objectiveMillis the latency objective, in milliseconds; for streams the time to the first event
 * @param gapObjectiveMillis the maximum gap between events, in milliseconds; 0 if the route does not stream
 * @param priority its priority; 0 is the most urgent
 * @param services the services that its requests are split over
 * @param maxAttempts the maximum number of workers that may run one request
 * @param anonymous whether requests need no key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        WorkKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long gapObjectiveMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean anonymous) {

    /** Makes an immutable copy of the list. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Selects the service for a request at random, in proportion to the weights.
     *
     * @param draw a random number, at least 0 and less than 1
     * @return the name of the service
     */
    public String selectService(double draw) {
        double total = 0;
        for (WeightedService service : services) {
            total += service.weight();
        }
        double left = draw * total;
        for (WeightedService service : services) {
            left -= service.weight();
            if (left < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }

    /**
     * Returns whether requests may be forwarded to a service.
     *
     * @param service the name of the service
     * @return whether the route leads to it
     */
    public boolean leadsTo(String service) {
        return services.stream().anyMatch(weighted -> weighted.service().equals(service) && weighted.weight() > 0);
    }
}
