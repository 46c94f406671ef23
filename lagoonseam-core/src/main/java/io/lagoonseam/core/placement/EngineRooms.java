package io.lagoonseam.core.placement;

import io.lagoonseam.core.forward.CachedSegments;
import io.lagoonseam.core.forward.PromptRoom;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamState;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which engines have room for a prompt, so that its answer and those of the requests there end in time, and
 * which prefixes their memory still holds. Answers bursts of long prompts before callers with short deadlines. Not
 * thread-safe.
 */
final class EngineRooms {

    /** How late reports of nodes arrive, in milliseconds. */
    private static final long REPORT_MILLIS = 60;

    private final ServiceWorkers workers;
    private final boolean keepsEnds;
    private final AnswerPace pace = new AnswerPace();
    private final Map<UpstreamState, Engine> engines = new IdentityHashMap<>();

    /** What is known of one engine beside its state. */
    private static final class Engine {
        private final ReadingBudget budget = new ReadingBudget();
        /** The tokens of the requests in flight that no other request shares. */
        private long unsharedTokens;
    }

    /**
     * Creates rooms without requests.
     *
     * @param workers the engines
     * @param keepsEnds false if there is room for each prompt, and prefixes are never forgotten
     */
    EngineRooms(ServiceWorkers workers, boolean keepsEnds) {
        this.workers = workers;
        this.keepsEnds = keepsEnds;
    }

    /** Returns which engines have room for the prompt of a request. */
    PromptRoom room(PlacementRequest request, long nowMillis) {
        if (!keepsEnds || !request.answer().known() || request.demand().goesOn()) {
            return PromptRoom.UNLIMITED;
        }
        AnswerPace.Paces paces = pace.paces();
        // an answer that cannot end in time as it is stated is placed by its first event alone
        boolean canEnd = spareMillis(paces, request, 0, nowMillis) >= 0;
        return (worker, unreadTokens) -> {
            double pendingMillis = readingMillis(worker, worker.pendingTokens(nowMillis));
            double promptMillis = readingMillis(worker, unreadTokens);
            return (!canEnd || spareMillis(paces, request, pendingMillis + promptMillis, nowMillis) >= 0)
                    && engine(worker).budget.allows(request.priority(), pendingMillis, promptMillis, nowMillis);
        };
    }

    /** Returns for how long an engine may read prompts beside an answer that begins after some time. */
    private static double spareMillis(
            AnswerPace.Paces paces, PlacementRequest request, double beginsAfterMillis, long nowMillis) {
        return paces.spareMillis(
                request.answer().tokens(), request.answer().endMillis() - nowMillis - beginsAfterMillis);
    }

    private double readingMillis(UpstreamState worker, long tokens) {
        return engine(worker)
                .budget
                .readingMillis(tokens, worker.firstEventTime().readingMillis(tokens));
    }

    private Engine engine(UpstreamState worker) {
        return engines.computeIfAbsent(worker, key -> new Engine());
    }

    /** Protects the answer of a request that is about to begin. */
    void protect(Placement placement, PlacementRequest request, long nowMillis) {
        if (keepsEnds && request.answer().known()) {
            double beginsAfterMillis = readingMillis(placement.worker, placement.tokensAhead + placement.unreadTokens);
            double spareMillis = spareMillis(pace.paces(), request, beginsAfterMillis, nowMillis);
            placement.readingLimit = Optional.of(engine(placement.worker)
                    .budget
                    .add(placement.priority, beginsAfterMillis + spareMillis, nowMillis));
        }
    }

    /** Records that a request is sent to its engine. */
    void begin(Placement placement, long nowMillis) {
        Engine engine = engine(placement.worker);
        engine.budget.begin(placement.unreadTokens, nowMillis);
        engine.unsharedTokens += placement.unsharedTokens();
        CachedSegments cached = placement.worker.cachedSegments();
        if (placement.hasPrefix() && placement.prefixTokens > 0) {
            cached.recordUse(placement.prefixHash, placement.prefixTokens, nowMillis);
        } else if (placement.hasPrefix()) {
            cached.recordUse(placement.prefixHash, nowMillis);
        }
        if (keepsEnds && workers.kvCapacityTokens() > 0) {
            cached.evictBeyond(Math.max(0, workers.kvCapacityTokens() - engine.unsharedTokens));
        }
    }

    /** Records the first event of a request, whose unread tokens have been read. */
    void firstEvent(Placement placement, long nowMillis) {
        ReadingBudget budget = engine(placement.worker).budget;
        budget.read(placement.unreadTokens, nowMillis);
        placement.firstEventMillis = nowMillis;
        placement.readBeforeMillis = budget.doneMillis(nowMillis);
    }

    /** Records the end of a request, before {@link #release}. */
    void end(Placement placement, long nowMillis) {
        if (!placement.read) {
            return;
        }
        placement.worker.cachedSegments().recordUnshared((int) placement.unsharedTokens(), nowMillis);
        // an answer that was cut at the end of its time tells nothing of its pace
        boolean whole = nowMillis < placement.answer.endMillis() - REPORT_MILLIS;
        if (whole && placement.answer.known()) {
            double readMillis = engine(placement.worker).budget.doneMillis(nowMillis) - placement.readBeforeMillis;
            double answerMillis = nowMillis - placement.firstEventMillis;
            pace.observe(placement.answer.tokens(), readMillis, Math.max(0, answerMillis - readMillis));
        }
    }

    /** Gives up what a request has at its engine; called before its unread tokens are set to 0. */
    void release(Placement placement) {
        Engine engine = engine(placement.worker);
        if (!placement.read) {
            engine.budget.withdraw(placement.unreadTokens);
        }
        engine.unsharedTokens -= placement.unsharedTokens();
        placement.readingLimit.ifPresent(limit -> engine.budget.remove(placement.priority, limit));
    }

    /** Forgets the engines that are no longer there. */
    void retainPresent() {
        engines.keySet().retainAll(workers.workers().values());
    }
}
