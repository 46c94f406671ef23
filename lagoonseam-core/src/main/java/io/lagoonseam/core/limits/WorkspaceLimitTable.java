package io.lagoonseam.core.limits;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Limits;
import io.lagoonseam.core.configuration.Workspace;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.verdict.Refusal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Enforces the limits of workspaces on one node. Without a share from the workspace's home node, the node uses an equal
 * share of the limits. If the home node is unresponsive, the node uses the lesser of its granted share and the equal
 * share until the granted share expires, so that the total over all nodes stays within the limits.
 */
public final class WorkspaceLimitTable implements WorkspaceLimiter {

    private static final int TOO_MANY_REQUESTS = 429;
    private static final long CONCURRENCY_RETRY_AFTER_MILLIS = 1_000;

    /** Time in ms without requests after which the share of a workspace is released. */
    private static final long IDLE_MILLIS = 10_000;

    /**
     * Time in ms without requests after which a workspace is evicted; longer than {@link #IDLE_MILLIS}, so that its
     * share is released more than once.
     */
    private static final long EVICTION_MILLIS = 14_000;

    /** Presumed ratio of the demand of a workspace with refused requests to its measured usage. */
    private static final double UNMET_DEMAND_FACTOR = 2;

    private final RankedLock lock = new RankedLock(LockRank.LIMITS);
    private final Map<String, WorkspaceUsage> usages = new HashMap<>();
    private Map<String, Limits> limitsByWorkspace = Map.of();
    private int nodeCount = 1;

    private static final class WorkspaceUsage {
        private final TokenBucket requests;
        private final TokenBucket tokens;
        private LimitAmounts amounts;
        private long shareEndsMillis;
        private long lastRequestMillis;
        private int inFlight;
        private int peakInFlight;
        private long offeredRequests;
        private boolean refused;
        private long generatedTokens;

        private WorkspaceUsage(LimitAmounts amounts, long nowMillis) {
            this.amounts = amounts;
            this.requests = new TokenBucket(amounts.requestsPerSecond(), nowMillis);
            this.tokens = new TokenBucket(amounts.tokensPerSecond(), nowMillis);
        }

        private boolean idleFor(long millis, long nowMillis) {
            return inFlight == 0 && nowMillis - lastRequestMillis > millis;
        }

        private void setAmounts(LimitAmounts newAmounts, long nowMillis) {
            if (!newAmounts.equals(amounts)) {
                amounts = newAmounts;
                requests.setRate(newAmounts.requestsPerSecond(), nowMillis);
                tokens.setRate(newAmounts.tokensPerSecond(), nowMillis);
            }
        }
    }

    /**
     * Applies the limits of a file set.
     *
     * @param fileSet the file set
     */
    public void configure(FileSet fileSet) {
        Map<String, Limits> byWorkspace = new HashMap<>();
        for (Workspace workspace : fileSet.workspaces().values()) {
            Limits limits = fileSet.limits().get(workspace.limits());
            if (limits != null) {
                byWorkspace.put(workspace.name(), limits);
            }
        }
        lock.run(() -> {
            limitsByWorkspace = Map.copyOf(byWorkspace);
            usages.keySet().removeIf(workspace -> !limitsByWorkspace.containsKey(workspace));
        });
    }

    /**
     * Sets the number of nodes among which limits are divided for the equal shares, which apply without a valid share
     * from the home node.
     *
     * @param count the number of live nodes; values below 1 count as 1
     */
    public void setNodeCount(int count) {
        lock.run(() -> nodeCount = Math.max(1, count));
    }

    /**
     * Returns the limits of a workspace.
     *
     * @param workspace the name of the workspace
     * @return its limits, or empty if it has none
     */
    public Optional<Limits> limitsOf(String workspace) {
        return lock.call(() -> Optional.ofNullable(limitsByWorkspace.get(workspace)));
    }

    @Override
    public Optional<Refusal> tryAcquire(String workspace, long nowMillis) {
        return lock.call(() -> {
            Limits limits = limitsByWorkspace.get(workspace);
            return limits == null ? Optional.empty() : tryAcquire(workspace, limits, nowMillis);
        });
    }

    private Optional<Refusal> tryAcquire(String workspace, Limits limits, long nowMillis) {
        LimitAmounts equalShare = LimitAmounts.of(limits).dividedBy(nodeCount);
        WorkspaceUsage usage = usages.computeIfAbsent(workspace, name -> new WorkspaceUsage(equalShare, nowMillis));
        if (nowMillis >= usage.shareEndsMillis) {
            usage.setAmounts(equalShare, nowMillis);
        }
        usage.offeredRequests++;
        usage.lastRequestMillis = nowMillis;
        if (usage.inFlight >= Math.max(1, Math.floor(usage.amounts.concurrency()))) {
            usage.refused = true;
            return Optional.of(refusal("too many requests at once", CONCURRENCY_RETRY_AFTER_MILLIS));
        }
        long waitMillis = Math.max(usage.requests.millisUntil(1, nowMillis), usage.tokens.millisUntil(1, nowMillis));
        if (waitMillis > 0) {
            usage.refused = true;
            // The share is replaced within its validity, so a wait computed from its rate is not valid for longer.
            long retryMillis = Math.min(waitMillis, LimitHome.SHARE_VALID_MILLIS);
            return Optional.of(refusal("too many requests or tokens a second", retryMillis));
        }
        usage.requests.charge(1, nowMillis);
        usage.inFlight++;
        usage.peakInFlight = Math.max(usage.peakInFlight, usage.inFlight);
        return Optional.empty();
    }

    private static Refusal refusal(String detail, long retryAfterMillis) {
        return Refusal.builder(EventCode.WORKSPACE_OVER_LIMIT, TOO_MANY_REQUESTS)
                .message(EventCode.WORKSPACE_OVER_LIMIT.summary() + ": " + detail)
                .retryAfterMillis(retryAfterMillis)
                .build();
    }

    @Override
    public void release(String workspace, int tokens, long nowMillis) {
        lock.run(() -> {
            WorkspaceUsage usage = usages.get(workspace);
            if (usage != null) {
                usage.inFlight = Math.max(0, usage.inFlight - 1);
                usage.tokens.charge(tokens, nowMillis);
                usage.generatedTokens += tokens;
            }
        });
    }

    /**
     * Returns the demand of all workspaces with recent requests since the last call, and resets the counts.
     *
     * @param periodMillis the time since the last call in ms
     * @param nowMillis the current monotonic time in ms
     * @return the demands; a demand of zero releases the share of an idle workspace
     */
    public List<LimitDemand> collectDemands(long periodMillis, long nowMillis) {
        return lock.call(() -> {
            List<LimitDemand> demands = new ArrayList<>();
            usages.values().removeIf(usage -> usage.idleFor(EVICTION_MILLIS, nowMillis));
            usages.forEach((workspace, usage) -> demands.add(
                    usage.idleFor(IDLE_MILLIS, nowMillis)
                            ? new LimitDemand(workspace, LimitAmounts.ZERO)
                            : collectDemand(workspace, usage, periodMillis)));
            return demands;
        });
    }

    private static LimitDemand collectDemand(String workspace, WorkspaceUsage usage, long periodMillis) {
        double perSecond = 1_000.0 / Math.max(1, periodMillis);
        double unmetFactor = usage.refused ? UNMET_DEMAND_FACTOR : 1;
        LimitAmounts amounts = new LimitAmounts(
                usage.offeredRequests * perSecond,
                usage.generatedTokens * perSecond * unmetFactor,
                (usage.peakInFlight + 1.0) * unmetFactor);
        usage.offeredRequests = 0;
        usage.refused = false;
        usage.generatedTokens = 0;
        usage.peakInFlight = usage.inFlight;
        return new LimitDemand(workspace, amounts);
    }

    /**
     * Applies a share granted by the workspace's home node, unless it has already expired.
     *
     * @param share the share
     * @param requestedAtMillis the monotonic time in ms at which it was requested
     * @param nowMillis the current monotonic time in ms
     */
    public void applyShare(LimitShare share, long requestedAtMillis, long nowMillis) {
        lock.run(() -> {
            WorkspaceUsage usage = usages.get(share.workspace());
            if (usage != null && requestedAtMillis + share.validMillis() > nowMillis) {
                usage.shareEndsMillis = requestedAtMillis + share.validMillis();
                usage.setAmounts(share.amounts(), nowMillis);
            }
        });
    }

    /**
     * Reduces the limits of a workspace whose home node did not answer to at most an equal share.
     *
     * @param workspace the name of the workspace
     * @param nowMillis the current monotonic time in ms
     */
    public void capAtEqualShare(String workspace, long nowMillis) {
        lock.run(() -> {
            WorkspaceUsage usage = usages.get(workspace);
            Limits limits = limitsByWorkspace.get(workspace);
            if (usage != null && limits != null) {
                LimitAmounts equalShare = LimitAmounts.of(limits).dividedBy(nodeCount);
                usage.setAmounts(usage.amounts.combine(equalShare, Math::min), nowMillis);
            }
        });
    }
}
