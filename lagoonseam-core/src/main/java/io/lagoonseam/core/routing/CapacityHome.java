package io.lagoonseam.core.routing;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Grants capacity leases: divides the slots of each worker among the nodes that use it, in proportion to their demand.
 * The home of a worker is the live node that rendezvous hashing selects. Leases are short and only limit load, so it is
 * safe if a home fails or if two nodes temporarily act as home of the same worker. Thread-safe.
 */
public final class CapacityHome {

    /** Duration of a capacity lease in milliseconds. */
    public static final long LEASE_MILLIS = 1_000;

    /** Ratio of granted slots to the slots that a worker has. */
    private static final double OVERCOMMIT = 1.25;

    private final RankedLock lock = new RankedLock(LockRank.CAPACITY);
    private final Map<String, TreeMap<String, Weight>> weightsByWorker = new HashMap<>();
    private final TimeSource time;

    private record Weight(long value, long untilMillis) {}

    /**
     * Creates a home without any registered demand.
     *
     * @param time the clock
     */
    public CapacityHome(TimeSource time) {
        this.time = time;
    }

    /**
     * Records the demand of a node and grants it a share of each worker's slots for {@link #LEASE_MILLIS}.
     *
     * @param nodeId the id of the node
     * @param demand the node's demand
     * @return the number of granted slots by worker name
     */
    public Map<String, Long> grant(String nodeId, CapacityDemand demand) {
        return lock.call(() -> {
            long nowMillis = time.monotonicMillis();
            Map<String, Long> grants = new HashMap<>();
            demand.slots().forEach((worker, slots) -> {
                TreeMap<String, Weight> weightsByNode =
                        weightsByWorker.computeIfAbsent(worker, name -> new TreeMap<>());
                weightsByNode.put(nodeId, new Weight(Math.max(1, demand.weight()), nowMillis + LEASE_MILLIS));
                weightsByNode.values().removeIf(weight -> weight.untilMillis() <= nowMillis);
                grants.put(worker, share(worker, weightsByNode, nodeId, OVERCOMMIT * slots));
            });
            return grants;
        });
    }

    /**
     * Returns the whole number of slots of one node. Rounds the cumulative shares of the nodes in id order, so that the
     * shares of one set of weights add up to the slots. The start offset depends on the worker, so that rounding does
     * not favour the same nodes at every worker.
     */
    private static long share(String worker, TreeMap<String, Weight> weightsByNode, String nodeId, double slots) {
        double total = weightsByNode.values().stream().mapToLong(Weight::value).sum();
        double offset = (Rendezvous.hash(worker) >>> 40) / (double) (1L << 24);
        double before = offset
                + slots
                        * weightsByNode.headMap(nodeId).values().stream()
                                .mapToLong(Weight::value)
                                .sum()
                        / total;
        double after = before + slots * weightsByNode.get(nodeId).value() / total;
        return (long) Math.floor(after) - (long) Math.floor(before);
    }
}
