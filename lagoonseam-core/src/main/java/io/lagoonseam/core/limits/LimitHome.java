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
 * Shares out the limits of the workspaces whose home is this node. Each node gets its demand as far as all demands fit
 * (max-min fairness) and an equal part of what is left over, which is divided among all live nodes, so that one that
 * gets its first request finds something. The shares in use together never exceed the limits: a node gets more only
 * when others' shares have shrunk. A live node that stops asking without having given its share back is taken to have
 * fallen back to an equal part, which stays reserved for it. A new home gives equal parts until the shares of the home
 * before it have ended.
 */
public final class LimitHome {

    /** How long a share may be used; nodes ask again several times within it. */
    public static final long SHARE_VALID_MILLIS = 3_000;

    private final RankedLock lock = new RankedLock(LockRank.LIMITS);
    private final Map<String, Map<String, Lease>> leases = new HashMap<>();
    private final Map<String, Long> homeSinceMillis = new HashMap<>();
    private final Function<String, Optional<Limits>> limits;
    private final Supplier<Set<String>> members;

    /**
     * Creates a home without workspaces.
     *
     * @param limits the limits of a workspace
     * @param members the names of the live nodes
     */
    public LimitHome(Function<String, Optional<Limits>> limits, Supplier<Set<String>> members) {
        this.limits = limits;
        this.members = members;
    }

    private record Lease(LimitAmounts demand, LimitAmounts granted, long endsMillis) {}

    /**
     * Answers a node's demands.
     *
     * @param nodeId the node
     * @param demands its demands
     * @param nowMillis the monotonic time
     * @return a share for each workspace that has limits
     */
    public List<LimitShare> grant(String nodeId, List<LimitDemand> demands, long nowMillis) {
        Map<String, Limits> known = new HashMap<>();
        demands.forEach(
                demand -> limits.apply(demand.workspace()).ifPresent(found -> known.put(demand.workspace(), found)));
        Set<String> live = members.get();
        return lock.call(() -> {
            List<LimitShare> shares = new ArrayList<>();
            for (LimitDemand demand : demands) {
                Limits found = known.get(demand.workspace());
                if (found != null) {
                    shares.add(grant(nodeId, demand, LimitAmounts.of(found), live, nowMillis));
                }
            }
            homeSinceMillis.keySet().retainAll(leases.keySet());
            return shares;
        });
    }

    private LimitShare grant(String nodeId, LimitDemand demand, LimitAmounts whole, Set<String> live, long nowMillis) {
        LimitAmounts equalPart = whole.dividedBy(Math.max(1, live.size()));
        Map<String, Lease> ofWorkspace = leases.computeIfAbsent(demand.workspace(), name -> new HashMap<>());
        reserveForSilent(ofWorkspace, live, equalPart, nowMillis);
        if (demand.amounts().equals(LimitAmounts.ZERO)) {
            ofWorkspace.remove(nodeId);
            forgetWithoutLeases(demand.workspace());
            return new LimitShare(demand.workspace(), equalPart, 0);
        }
        long sinceMillis = homeSinceMillis.computeIfAbsent(demand.workspace(), name -> nowMillis);
        long endsMillis = nowMillis + SHARE_VALID_MILLIS;
        ofWorkspace.put(nodeId, new Lease(demand.amounts(), LimitAmounts.ZERO, endsMillis));
        boolean newHome = nowMillis - sinceMillis < SHARE_VALID_MILLIS && live.size() > 1;
        LimitAmounts wanted = newHome ? equalPart : fairPart(ofWorkspace, nodeId, whole, live.size());
        LimitAmounts others = ofWorkspace.values().stream()
                .map(Lease::granted)
                .reduce(LimitAmounts.ZERO, (sum, next) -> sum.combine(next, Double::sum));
        LimitAmounts free = whole.combine(others, (all, used) -> Math.max(0, all - used));
        LimitAmounts granted = wanted.combine(free, Math::min);
        ofWorkspace.put(nodeId, new Lease(demand.amounts(), granted, endsMillis));
        return new LimitShare(demand.workspace(), granted, SHARE_VALID_MILLIS);
    }

    private static void reserveForSilent(
            Map<String, Lease> ofWorkspace, Set<String> live, LimitAmounts equalPart, long nowMillis) {
        ofWorkspace
                .entrySet()
                .removeIf(entry -> entry.getValue().endsMillis <= nowMillis && !live.contains(entry.getKey()));
        ofWorkspace.replaceAll((node, lease) ->
                lease.endsMillis <= nowMillis ? new Lease(lease.demand, equalPart, lease.endsMillis) : lease);
    }

    private void forgetWithoutLeases(String workspace) {
        if (leases.get(workspace).isEmpty()) {
            leases.remove(workspace);
        }
    }

    private static LimitAmounts fairPart(Map<String, Lease> ofWorkspace, String nodeId, LimitAmounts whole, int nodes) {
        return new LimitAmounts(
                fairPart(ofWorkspace, nodeId, whole.requestsPerSecond(), nodes, LimitAmounts::requestsPerSecond),
                fairPart(ofWorkspace, nodeId, whole.tokensPerSecond(), nodes, LimitAmounts::tokensPerSecond),
                fairPart(ofWorkspace, nodeId, whole.concurrency(), nodes, LimitAmounts::concurrency));
    }

    private static double fairPart(
            Map<String, Lease> ofWorkspace,
            String nodeId,
            double whole,
            int nodes,
            ToDoubleFunction<LimitAmounts> amount) {
        List<Double> demands = new ArrayList<>();
        ofWorkspace.values().forEach(lease -> demands.add(amount.applyAsDouble(lease.demand)));
        double own = amount.applyAsDouble(ofWorkspace.get(nodeId).demand);
        return MaxMinFairness.partOf(own, demands, whole, nodes);
    }
}
