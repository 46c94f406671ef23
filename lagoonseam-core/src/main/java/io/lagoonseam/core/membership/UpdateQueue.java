package io.lagoonseam.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of membership updates to disseminate by gossip. Each update is sent a limited number of times, which grows with
 * the logarithm of the number of members. Not thread-safe.
 */
final class UpdateQueue {

    private static final int TRANSMISSIONS_FACTOR = 2;

    private final Map<String, Integer> transmissionsById = new LinkedHashMap<>();

    void add(String nodeId) {
        transmissionsById.put(nodeId, 0);
    }

    void remove(String nodeId) {
        transmissionsById.remove(nodeId);
    }

    /** Returns the ids with the fewest transmissions and counts one more transmission of each. */
    List<String> take(int limit, int memberCount) {
        int maxTransmissions = TRANSMISSIONS_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(memberCount));
        List<String> chosen = new ArrayList<>(transmissionsById.keySet());
        chosen.sort(Comparator.comparing(transmissionsById::get));
        List<String> taken = List.copyOf(chosen.subList(0, Math.min(limit, chosen.size())));
        for (String nodeId : taken) {
            int transmitted = transmissionsById.merge(nodeId, 1, Integer::sum);
            if (transmitted >= maxTransmissions) {
                transmissionsById.remove(nodeId);
            }
        }
        return taken;
    }
}
