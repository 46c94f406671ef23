package io.lagoonseam.core.resume;

import io.lagoonseam.core.forward.Route;
import io.lagoonseam.core.forward.WeightedService;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Remembers since when each route has led to its services. Not thread-safe. */
public final class RouteHistory {

    /** Added to the time for which a stream may last: workers that leave get requests until each node knows of it. */
    private static final long SLACK_MILLIS = 2_000;

    private Map<String, Since> sinceByRoute = Map.of();

    private record Since(Set<String> services, long sinceMillis) {}

    private static Set<String> services(Route route) {
        return route.services().stream()
                .filter(weighted -> weighted.weight() > 0)
                .map(WeightedService::service)
                .collect(Collectors.toSet());
    }

    private static String key(Route route) {
        return route.host() + route.pathPrefix();
    }

    /**
     * Records the routes of a configuration that comes into force.
     *
     * @param routes the routes
     * @param nowMillis the current time, in milliseconds
     */
    public void observe(Collection<Route> routes, long nowMillis) {
        Map<String, Since> updated = new HashMap<>();
        for (Route route : routes) {
            Since known = sinceByRoute.get(key(route));
            boolean unchanged = known != null && known.services.equals(services(route));
            updated.put(key(route), unchanged ? known : new Since(services(route), nowMillis));
        }
        sinceByRoute = updated;
    }

    /**
     * Returns where and when a stream of a route began.
     *
     * @param route the route
     * @param callerTimeoutMillis how long the caller still waits, in milliseconds
     * @return its service, and twice the time for which the stream may last
     */
    public static ServiceWindow window(Route route, long callerTimeoutMillis) {
        Set<String> services = services(route);
        return new ServiceWindow(
                key(route),
                services.size() == 1 ? services.iterator().next() : "",
                SLACK_MILLIS + 2 * Math.max(route.timeoutMillis(), callerTimeoutMillis));
    }

    /**
     * Returns whether a route has led only to a service for a time.
     *
     * @param window the route, the service and the time
     * @param nowMillis the current time, in milliseconds
     * @return whether that has been so for the whole time, as far as this node knows
     */
    public boolean ledOnlyTo(ServiceWindow window, long nowMillis) {
        Since known = sinceByRoute.get(window.route());
        return known != null
                && known.services.equals(Set.of(window.service()))
                && known.sinceMillis <= nowMillis - window.windowMillis();
    }
}
