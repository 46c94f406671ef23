package io.lagoonseam.core.forward;

import java.util.List;

/**
 * What happens to the requests of one host and path prefix.
 *
 * @param name its name
 * @param host the host that callers name
 * @param pathPrefix begins and ends with a slash
 * @param kind how often its requests may run
 * @param timeoutMillis the longest time that a request is kept
 * @param objectiveMillis the latency objective, for streams to the first event
 * @param gapObjectiveMillis the longest pause between events, 0 where the route does not stream
 * @param priority its rank, 0 is the most urgent
 * @param services the services that its requests are split over
 * @param maxAttempts the most workers that one request may be sent to
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

    /** Copies the list. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Chooses the service of a request.
     *
     * @param draw a random number from 0 to 1, exclusive
     * @return its name
     */
    public String service(double draw) {
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
}
