package io.lagoonseam.core.limits;

import io.lagoonseam.core.configuration.Limits;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Divides the limits of the workspaces whose home is this node among the live nodes, by leases. Each node gets its
 * max-min fair share of the demands plus an equal share of the unused remainder. The remainder is divided among all
 * live nodes, so that a node which receives its first request has capacity for it. The total of the valid shares never
 * exceeds the limits: a share grows only after other shares have shrunk. A live node that stops requesting its share
 * without having released it is presumed to use an equal share as fallback, which stays reserved for it. A new home
 * grants equal shares until the shares granted by the previous home have expired.
 */
public final class LimitHome {

    /** Validity of a share, in ms. Nodes renew their shares several times within it. */
    public static final long SHARE_VALID_MILLIS = 3_000;

    private final RankedLock lock = new RankedLock(LockRank.LIMITS);
    private final Map<String, Map<String, Lease>> leases = new HashMap<>();
    private final Map<String, Long> homeSinceMillis = new HashMap<>();
    private final Function<String, Optional<Limits>> limits;
    private final Supplier<Set<String>> liveNodeIds;

    /**
     * Creates a home without leases.
     *
     * @param limits returns the limits of a workspace, or empty if it has none
     * @param liveNodeIds returns the ids of the live nodes
     */
    public LimitHome(Function<String, Optional<Limits>> limits, Supplier<Set<String>> liveNodeIds) {
        this.limits = limits;
        this.liveNodeIds = liveNodeIds;
    }

    private record Lease(LimitAmounts demand, LimitAmounts granted, long endsMillis) {}

    /**
     * Grants shares for a node's demands. A demand of zero releases the node's share.
     *
     * @param nodeId the id of the node
     * @param demands its demands, one for each workspace
     * @param nowMillis the current monotonic time in ms
     * @return a share for each workspace that has limits; valid for 0 ms if the share was released
     */
    public List<LimitShare> grant(String nodeId, List<LimitDemand> demands, long nowMillis) {
        Map<String, Limits> limitsByWorkspace = new HashMap<>();
        demands.forEach(demand ->
                limits.apply(demand.workspace()).ifPresent(found -> limitsByWorkspace.put(demand.workspace(), found)));
        Set<String> liveNodes = liveNodeIds.get();
        return lock.call(() -> {
            List<LimitShare> shares = new ArrayList<>();
            for (LimitDemand demand : demands) {
                Limits workspaceLimits = limitsByWorkspace.get(demand.workspace());
                if (workspaceLimits != null) {
                    shares.add(grant(nodeId, demand, LimitAmounts.of(workspaceLimits), liveNodes, nowMillis));
                }
            }
            homeSinceMillis.keySet().retainAll(leases.keySet());
            return shares;
        });
    }

    private LimitShare grant(
            String nodeId, LimitDemand demand, LimitAmounts total, Set<String> liveNodes, long nowMillis) {
        LimitAmounts equalShare = total.dividedBy(Math.max(1, liveNodes.size()));
        Map<String, Lease> workspaceLeases = leases.computeIfAbsent(demand.workspace(), name -> new HashMap<>());
        reserveForUnresponsive(workspaceLeases, liveNodes, equalShare, nowMillis);
        if (demand.amounts().equals(LimitAmounts.ZERO)) {
            workspaceLeases.remove(nodeId);
            removeIfNoLeases(demand.workspace());
            return new LimitShare(demand.workspace(), equalShare, 0);
        }
        long sinceMillis = homeSinceMillis.computeIfAbsent(demand.workspace(), name -> nowMillis);
        long endsMillis = nowMillis + SHARE_VALID_MILLIS;
        workspaceLeases.put(nodeId, new Lease(demand.amounts(), LimitAmounts.ZERO, endsMillis));
        boolean newHome = nowMillis - sinceMillis < SHARE_VALID_MILLIS && liveNodes.size() > 1;
        LimitAmounts entitled = newHome ? equalShare : fairShare(workspaceLeases, nodeId, total, liveNodes.size());
        LimitAmounts others = workspaceLeases.values().stream()
                .map(Lease::granted)
                .reduce(LimitAmounts.ZERO, (sum, next) -> sum.combine(next, Double::sum));
        LimitAmounts free = total.combine(others, (all, used) -> Math.max(0, all - used));
        LimitAmounts granted = entitled.combine(free, Math::min);
        workspaceLeases.put(nodeId, new Lease(demand.amounts(), granted, endsMillis));
        return new LimitShare(demand.workspace(), granted, SHARE_VALID_MILLIS);
    }

    private static void reserveForUnresponsive(
            Map<String, Lease> workspaceLeases, Set<String> liveNodes, LimitAmounts equalShare, long nowMillis) {
        workspaceLeases
                .entrySet()
                .removeIf(entry -> entry.getValue().endsMillis <= nowMillis && !liveNodes.contains(entry.getKey()));
        workspaceLeases.replaceAll((node, lease) ->
                lease.endsMillis <= nowMillis ? new Lease(lease.demand, equalShare, lease.endsMillis) : lease);
    }

    private void removeIfNoLeases(String workspace) {
        if (leases.get(workspace).isEmpty()) {
            leases.remove(workspace);
        }
    }

    private static LimitAmounts fairShare(
            Map<String, Lease> workspaceLeases, String nodeId, LimitAmounts total, int nodes) {
        return new LimitAmounts(
                fairShare(workspaceLeases, nodeId, total.requestsPerSecond(), nodes, LimitAmounts::requestsPerSecond),
                fairShare(workspaceLeases, nodeId, total.tokensPerSecond(), nodes, LimitAmounts::tokensPerSecond),
                fairShare(workspaceLeases, nodeId, total.concurrency(), nodes, LimitAmounts::concurrency));
    }

    private static double fairShare(
            Map<String, Lease> workspaceLeases,
            String nodeId,
            double total,
            int nodes,
            ToDoubleFunction<LimitAmounts> amount) {
        List<Double> demands = new ArrayList<>();
        workspaceLeases.values().forEach(lease -> demands.add(amount.applyAsDouble(lease.demand)));
        double demand = amount.applyAsDouble(workspaceLeases.get(nodeId).demand);
        return MaxMinFairness.shareOf(demand, demands, total, nodes);
    }
}
