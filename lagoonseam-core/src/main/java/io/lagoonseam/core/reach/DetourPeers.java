package io.lagoonseam.core.reach;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * The nodes that have lately said that they reach the workers of one service, and the choice among them. Times are on
 * the monotonic clock, in milliseconds. Not thread-safe.
 */
public final class DetourPeers {

    /** How long an answer holds, in milliseconds: two rounds of questions and the answer to them. */
    public static final long VALID_MILLIS = 700;

    private final Map<String, Peer> peers = new HashMap<>();

    private static final class Peer {
        private long answeredMillis;
        private int inFlight;
    }

    /**
     * Records that a node reaches the workers.
     *
     * @param id the id of the node
     * @param inFlight the number of requests that it has in flight for other nodes
     * @param nowMillis the current time
     */
    public void reaches(String id, int inFlight, long nowMillis) {
        Peer peer = peers.computeIfAbsent(id, key -> new Peer());
        peer.answeredMillis = nowMillis;
        peer.inFlight = inFlight;
    }

    /**
     * Records that a node does not reach the workers, does not answer, or takes no more requests.
     *
     * @param id the id of the node
     */
    public void remove(String id) {
        peers.remove(id);
    }

    /**
     * Returns the nodes whose answers hold.
     *
     * @param nowMillis the current time
     * @return their ids
     */
    public List<String> valid(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.answeredMillis > VALID_MILLIS);
        return new ArrayList<>(peers.keySet());
    }

    /**
     * Chooses the less busy one of two nodes at random, and counts a request there.
     *
     * @param excluded the ids of nodes that are not chosen
     * @param random the source of random numbers
     * @param nowMillis the current time
     * @return the id of the node, empty if there is none
     */
    public Optional<String> choose(Set<String> excluded, Random random, long nowMillis) {
        List<String> candidates = valid(nowMillis);
        candidates.removeAll(excluded);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        String one = candidates.get(random.nextInt(candidates.size()));
        String other = candidates.get(random.nextInt(candidates.size()));
        String chosen = peers.get(one).inFlight <= peers.get(other).inFlight ? one : other;
        peers.get(chosen).inFlight++;
        return Optional.of(chosen);
    }
}
