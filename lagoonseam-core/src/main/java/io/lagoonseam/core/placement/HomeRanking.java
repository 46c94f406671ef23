package io.lagoonseam.core.placement;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Ranks the nodes that may be the home of a service. All nodes that know the same nodes rank them alike, without an
 * election. Answers the load of hundreds of nodes of unequal size: a home handles messages of all nodes, so only nodes
 * with at least half of the processor capacity of the largest one are candidates, as long as there are
 * {@link #MIN_CANDIDATES} of them.
 */
public final class HomeRanking {

    /** The number of candidates that remain if the largest nodes fail at the same time. */
    static final int MIN_CANDIDATES = 5;

    private HomeRanking() {}

    /**
     * Ranks the candidates for a service.
     *
     * @param service the name of the service
     * @param capacityByNode the processor capacity of each node by its id, in thousandths of a core
     * @return the ids of the candidates; the first that responds is the home
     */
    public static List<String> rank(String service, Map<String, Integer> capacityByNode) {
        List<Integer> capacities = new ArrayList<>(capacityByNode.values());
        capacities.sort((left, right) -> Integer.compare(right, left));
        if (capacities.isEmpty()) {
            return List.of();
        }
        int enough = capacities.get(Math.min(MIN_CANDIDATES, capacities.size()) - 1);
        int min = Math.min(enough, (capacities.get(0) + 1) / 2);
        List<String> candidates = capacityByNode.entrySet().stream()
                .filter(entry -> entry.getValue() >= min)
                .map(Map.Entry::getKey)
                .toList();
        return Rendezvous.sortByRank(service, candidates, id -> id);
    }
}
