package io.lagoonseam.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What is still to be told of members: each update a number of times that grows with the logarithm of the members. */
final class UpdateQueue {

    private static final int TRANSMISSIONS_FACTOR = 2;

    private final Map<String, Integer> timesToldById = new LinkedHashMap<>();

    void add(String nodeId) {
        timesToldById.put(nodeId, 0);
    }

    void remove(String nodeId) {
        timesToldById.remove(nodeId);
    }

    /** Takes the updates told least often. */
    List<String> take(int limit, int memberCount) {
        int transmissions = TRANSMISSIONS_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(memberCount));
        List<String> chosen = new ArrayList<>(timesToldById.keySet());
        chosen.sort(Comparator.comparing(timesToldById::get));
        List<String> taken = List.copyOf(chosen.subList(0, Math.min(limit, chosen.size())));
        for (String nodeId : taken) {
            int timesTold = timesToldById.merge(nodeId, 1, Integer::sum);
            if (timesTold >= transmissions) {
                timesToldById.remove(nodeId);
            }
        }
        return taken;
    }
}
