package io.lagoonseam.core.routing;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the slots of workers over the nodes that use them, in proportion to their demand. The home of a worker is the
 * live node that rendezvous hashing gives. Shares expire soon and are only a bound on load, so that a home may be lost,
 * or be thought to be two nodes for a while, without harm.
 */
public final class CapacityHome {

    /** How long a share holds. */
    public static final long LEASE_MILLIS = 1_000;

    private static final double OVERCOMMIT = 1.25;

    private final RankedLock lock = new RankedLock(LockRank.CAPACITY);
    private final Map<String, TreeMap<String, Weight>> weights = new HashMap<>();
    private final TimeSource time;

    private record Weight(long value, long untilMillis) {}

    /**
     * Creates a home that knows of no demand.
     *
     * @param time the clock
     */
    public CapacityHome(TimeSource time) {
        this.time = time;
    }

    /**
     * Takes a node's demand and grants its shares.
     *
     * @param nodeId the node
     * @param demand its demand
     * @return slots by the worker's name
     */
    public Map<String, Long> grant(String nodeId, CapacityDemand demand) {
        return lock.call(() -> {
            long nowMillis = time.monotonicMillis();
            Map<String, Long> grants = new HashMap<>();
            demand.slots().forEach((worker, slots) -> {
                TreeMap<String, Weight> users = weights.computeIfAbsent(worker, name -> new TreeMap<>());
                users.put(nodeId, new Weight(Math.max(1, demand.weight()), nowMillis + LEASE_MILLIS));
                users.values().removeIf(weight -> weight.untilMillis() <= nowMillis);
                grants.put(worker, share(worker, users, nodeId, OVERCOMMIT * slots));
            });
            return grants;
        });
    }

    /** Rounds along the users in order, so that the shares of one set of weights add up to the slots. */
    private static long share(String worker, TreeMap<String, Weight> users, String nodeId, double slots) {
        double total = users.values().stream().mapToLong(Weight::value).sum();
        double offset = (Rendezvous.hash(worker) >>> 40) / (double) (1L << 24);
        double before = offset
                + slots
                        * users.headMap(nodeId).values().stream()
                                .mapToLong(Weight::value)
                                .sum()
                        / total;
        double after = before + slots * users.get(nodeId).value() / total;
        return (long) Math.floor(after) - (long) Math.floor(before);
    }
}
