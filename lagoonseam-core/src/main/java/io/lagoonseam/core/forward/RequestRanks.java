package io.lagoonseam.core.forward;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.LongStream;

/**
 * Ranks requests by the priority of their workspace, then by that of their route. Answers the load of a few workspaces
 * that send requests of all classes: where workspaces have priorities, most requests share one, and the urgent classes
 * among them still come before the others. Immutable; nodes with the same configuration rank alike.
 */
public final class RequestRanks {

    private final long[] pairs;
    private final Map<String, Integer> routePriorities = new HashMap<>();

    /**
     * Creates the ranks of a configuration.
     *
     * @param routes all routes
     * @param workspaces all workspaces
     */
    public RequestRanks(Collection<Route> routes, Collection<KeyWorkspace> workspaces) {
        int[] ofWorkspaces = workspaces.stream()
                .map(KeyWorkspace::priority)
                .filter(OptionalInt::isPresent)
                .mapToInt(OptionalInt::getAsInt)
                .distinct()
                .toArray();
        routes.forEach(route -> routePriorities.put(route.name(), route.priority()));
        pairs = routePriorities.values().stream()
                .distinct()
                .flatMapToLong(ofRoute -> LongStream.concat(
                        LongStream.of(pair(ofRoute, ofRoute)),
                        Arrays.stream(ofWorkspaces).mapToLong(ofWorkspace -> pair(ofWorkspace, ofRoute))))
                .sorted()
                .distinct()
                .toArray();
    }

    private static long pair(int priority, int routePriority) {
        return ((long) priority << Integer.SIZE) + routePriority;
    }

    /**
     * Returns the rank of a request.
     *
     * @param priority the priority of its workspace or, if that has none, of its route; 0 is the most urgent
     * @param route the name of its route; an unknown one has the priority of the request
     * @return the number of combinations of priorities in the configuration that come before it
     */
    public int rank(int priority, String route) {
        int index = Arrays.binarySearch(pairs, pair(priority, routePriorities.getOrDefault(route, priority)));
        return index >= 0 ? index : -index - 1;
    }
}
