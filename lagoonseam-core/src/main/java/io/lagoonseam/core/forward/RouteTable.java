package io.lagoonseam.core.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: the one with the longest matching path prefix among the routes of its host. */
public final class RouteTable {

    private final Map<String, Map<String, Route>> routesByHost;
    private final List<Route> all;

    /**
     * Creates a table.
     *
     * @param routes the routes; of two with the same host and prefix the first one is used
     */
    public RouteTable(List<Route> routes) {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        List<Route> ordered = new ArrayList<>(routes);
        ordered.sort(Comparator.comparing(Route::pathPrefix));
        for (Route route : ordered) {
            byHost.computeIfAbsent(normalise(route.host()), host -> new HashMap<>())
                    .putIfAbsent(route.pathPrefix(), route);
        }
        this.routesByHost = byHost;
        this.all = List.copyOf(routes);
    }

    /**
     * Returns all routes.
     *
     * @return the routes
     */
    public List<Route> all() {
        return all;
    }

    /**
     * Finds a route.
     *
     * @param host the host that the caller named, with or without a port
     * @param path the path without its query
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> routes = routesByHost.get(normalise(host));
        if (routes == null) {
            return Optional.empty();
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }

    private static String normalise(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
