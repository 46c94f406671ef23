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
 * The limits of workspaces as one node enforces them. Without a share from the workspace's home node, the node keeps to
 * an equal part of the limits. When the home node falls silent, the node keeps to the lesser of its share and the equal
 * part until the share ends, so that the parts of all nodes together stay within the limits.
 */
public final class WorkspaceLimitTable implements WorkspaceLimiter {

    private static final int TOO_MANY_REQUESTS = 429;
    private static final long BUSY_RETRY_MILLIS = 1_000;

    /** The time without requests after which a workspace's share is given back. */
    private static final long IDLE_MILLIS = 10_000;

    /** The time after which an idle workspace is forgotten, so that its share is given back more than once. */
    private static final long FORGET_MILLIS = 14_000;

    /** How much more than it got a workspace that was refused is taken to want. */
    private static final double UNMET_DEMAND_FACTOR = 2;

    private final RankedLock lock = new RankedLock(LockRank.LIMITS);
    private final Map<String, Entry> entries = new HashMap<>();
    private Map<String, Limits> limitsByWorkspace = Map.of();
    private int members = 1;

    private static final class Entry {
        private final TokenBucket requests;
        private final TokenBucket tokens;
        private LimitAmounts amounts;
        private long shareEndsMillis;
        private long usedAtMillis;
        private int inFlight;
        private int highestInFlight;
        private long askedRequests;
        private boolean refused;
        private long generatedTokens;

        private Entry(LimitAmounts amounts, long nowMillis) {
            this.amounts = amounts;
            this.requests = new TokenBucket(amounts.requestsPerSecond(), nowMillis);
            this.tokens = new TokenBucket(amounts.tokensPerSecond(), nowMillis);
        }

        private boolean idleFor(long millis, long nowMillis) {
            return inFlight == 0 && nowMillis - usedAtMillis > millis;
        }

        private void use(LimitAmounts newAmounts, long nowMillis) {
            if (!newAmounts.equals(amounts)) {
                amounts = newAmounts;
                requests.setRate(newAmounts.requestsPerSecond(), nowMillis);
                tokens.setRate(newAmounts.tokensPerSecond(), nowMillis);
            }
        }
    }

    /**
     * Puts the limits of a file set in force.
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
            entries.keySet().removeIf(workspace -> !limitsByWorkspace.containsKey(workspace));
        });
    }

    /**
     * Sets among how many nodes the limits are divided without a home node.
     *
     * @param count the live nodes, at least 1
     */
    public void setMembers(int count) {
        lock.run(() -> members = Math.max(1, count));
    }

    /**
     * Returns the limits of a workspace.
     *
     * @param workspace the workspace
     * @return its limits, if it has any
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
        LimitAmounts equalPart = LimitAmounts.of(limits).dividedBy(members);
        Entry entry = entries.computeIfAbsent(workspace, name -> new Entry(equalPart, nowMillis));
        if (nowMillis >= entry.shareEndsMillis) {
            entry.use(equalPart, nowMillis);
        }
        entry.askedRequests++;
        entry.usedAtMillis = nowMillis;
        if (entry.inFlight >= Math.max(1, Math.floor(entry.amounts.concurrency()))) {
            entry.refused = true;
            return Optional.of(refusal("too many requests at once", BUSY_RETRY_MILLIS));
        }
        long waitMillis = Math.max(entry.requests.millisUntil(1, nowMillis), entry.tokens.millisUntil(1, nowMillis));
        if (waitMillis > 0) {
            entry.refused = true;
            // by then another share holds, so that the rate of this one does not tell
            long retryMillis = Math.min(waitMillis, LimitHome.SHARE_VALID_MILLIS);
            return Optional.of(refusal("too many requests or tokens a second", retryMillis));
        }
        entry.requests.charge(1, nowMillis);
        entry.inFlight++;
        entry.highestInFlight = Math.max(entry.highestInFlight, entry.inFlight);
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
            Entry entry = entries.get(workspace);
            if (entry != null) {
                entry.inFlight = Math.max(0, entry.inFlight - 1);
                entry.tokens.charge(tokens, nowMillis);
                entry.generatedTokens += tokens;
            }
        });
    }

    /**
     * Takes the demand of all workspaces with recent requests since the last call.
     *
     * @param periodMillis the time since the last call
     * @param nowMillis the monotonic time
     * @return demands; a demand of nothing gives a share back
     */
    public List<LimitDemand> takeDemands(long periodMillis, long nowMillis) {
        return lock.call(() -> {
            List<LimitDemand> demands = new ArrayList<>();
            entries.values().removeIf(entry -> entry.idleFor(FORGET_MILLIS, nowMillis));
            entries.forEach((workspace, entry) -> demands.add(
                    entry.idleFor(IDLE_MILLIS, nowMillis)
                            ? new LimitDemand(workspace, LimitAmounts.ZERO)
                            : takeDemand(workspace, entry, periodMillis)));
            return demands;
        });
    }

    private static LimitDemand takeDemand(String workspace, Entry entry, long periodMillis) {
        double perSecond = 1_000.0 / Math.max(1, periodMillis);
        double unmetFactor = entry.refused ? UNMET_DEMAND_FACTOR : 1;
        LimitAmounts amounts = new LimitAmounts(
                entry.askedRequests * perSecond,
                entry.generatedTokens * perSecond * unmetFactor,
                (entry.highestInFlight + 1.0) * unmetFactor);
        entry.askedRequests = 0;
        entry.refused = false;
        entry.generatedTokens = 0;
        entry.highestInFlight = entry.inFlight;
        return new LimitDemand(workspace, amounts);
    }

    /**
     * Uses a share that the workspace's home node gave.
     *
     * @param share the share
     * @param askedAtMillis the monotonic time at which it was asked for
     * @param nowMillis the monotonic time
     */
    public void use(LimitShare share, long askedAtMillis, long nowMillis) {
        lock.run(() -> {
            Entry entry = entries.get(share.workspace());
            if (entry != null && askedAtMillis + share.validMillis() > nowMillis) {
                entry.shareEndsMillis = askedAtMillis + share.validMillis();
                entry.use(share.amounts(), nowMillis);
            }
        });
    }

    /**
     * Falls back for a workspace whose home node did not answer.
     *
     * @param workspace the workspace
     * @param nowMillis the monotonic time
     */
    public void homeSilent(String workspace, long nowMillis) {
        lock.run(() -> {
            Entry entry = entries.get(workspace);
            Limits limits = limitsByWorkspace.get(workspace);
            if (entry != null && limits != null) {
                LimitAmounts equalPart = LimitAmounts.of(limits).dividedBy(members);
                entry.use(entry.amounts.combine(equalPart, Math::min), nowMillis);
            }
        });
    }
}
