package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.ChoiceRequest;
import io.lagoonseam.core.forward.FailureComparison;
import io.lagoonseam.core.forward.FirstEventTime;
import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.PromptSizes;
import io.lagoonseam.core.forward.RepeatBudget;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.UpstreamTrust;
import io.lagoonseam.core.forward.WaitingLine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;

/** One service at this node: its workers, the requests that wait for one of them, and its repeat budget. */
final class ServiceQueue {

    private final Map<String, UpstreamState> workers = new LinkedHashMap<>();
    private final WaitingLine<ForwardedRequest> line = new WaitingLine<>();
    private final UpstreamChooser engineChooser;
    private final UpstreamChooser plainChooser;
    private final RepeatBudget budget;
    private final FirstEventTime firstEventTime = new FirstEventTime();
    private final PromptSizes promptSizes = new PromptSizes();
    private long memoryTokens;
    private boolean modelEngine;
    private int connectionsPerWorker = Integer.MAX_VALUE;

    ServiceQueue(UpstreamChooser engineChooser, UpstreamChooser plainChooser, RepeatBudget budget) {
        this.engineChooser = engineChooser;
        this.plainChooser = plainChooser;
        this.budget = budget;
    }

    void modelEngine(boolean value) {
        this.modelEngine = value;
    }

    void memoryTokens(long value) {
        this.memoryTokens = value;
    }

    void connectionsPerWorker(int value) {
        this.connectionsPerWorker = value;
    }

    RepeatBudget budget() {
        return budget;
    }

    /** Makes the state of a worker that gets its first work. */
    UpstreamState state(UpstreamRecord record) {
        return new UpstreamState(record, firstEventTime, promptSizes);
    }

    /** Takes the size of a prompt that is sent. */
    void promptSent(Lane lane, long tokens, long unreadTokens) {
        promptSizes.observe(lane, tokens, unreadTokens);
    }

    Map<String, UpstreamState> workers() {
        return workers;
    }

    WaitingLine<ForwardedRequest> line() {
        return line;
    }

    /** Takes what came of an attempt. */
    void observe(UpstreamState worker, UpstreamTrust.Outcome outcome, long nowMillis) {
        worker.recentOutcomes().observe(outcome != UpstreamTrust.Outcome.ANSWERED, nowMillis);
        OutcomeCount others = outcomes(nowMillis).minus(worker.outcomes(nowMillis));
        worker.trust().observe(outcome, nowMillis, others);
    }

    /** Sets aside the workers that fail more than the others, as all nodes together see it, and returns them. */
    List<UpstreamState> setFailingAside(long nowMillis) {
        OutcomeCount all = outcomes(nowMillis);
        List<UpstreamState> failing = new ArrayList<>();
        for (UpstreamState worker : workers.values()) {
            OutcomeCount own = worker.outcomes(nowMillis);
            if (FailureComparison.fails(own, all.minus(own)) && worker.trust().foundFailing(nowMillis)) {
                failing.add(worker);
            }
        }
        return failing;
    }

    private OutcomeCount outcomes(long nowMillis) {
        OutcomeCount sum = OutcomeCount.NONE;
        for (UpstreamState worker : workers.values()) {
            sum = sum.plus(worker.outcomes(nowMillis));
        }
        return sum;
    }

    boolean hasWorkers() {
        return !workers.isEmpty();
    }

    /**
     * Chooses a worker among the trusted ones, or among all if none is; one that was tried before is the last resort.
     */
    Optional<UpstreamChooser.Choice> choose(ForwardedRequest request, String dataCentre, long nowMillis) {
        Collection<UpstreamState> candidates = candidates(nowMillis);
        UpstreamChooser chooser = modelEngine ? engineChooser : plainChooser;
        BiFunction<Set<String>, Collection<UpstreamState>, Optional<UpstreamChooser.Choice>> choice =
                (avoided, from) -> chooser.choose(
                        new ChoiceRequest(
                                request.prompt(),
                                request.lane(),
                                request.objectiveMillis(),
                                request.objectiveLeftMillis(nowMillis),
                                dataCentre,
                                memoryTokens,
                                avoided,
                                nowMillis),
                        from);
        Optional<UpstreamChooser.Choice> fresh = choice.apply(request.tried(), candidates);
        return fresh.isPresent() || request.tried().isEmpty() ? fresh : choice.apply(Set.of(), candidates);
    }

    private Collection<UpstreamState> candidates(long nowMillis) {
        List<UpstreamState> trusted = new ArrayList<>();
        for (UpstreamState worker : workers.values()) {
            if (worker.trust().trusted(nowMillis) && worker.ownInFlight() < connectionsPerWorker) {
                trusted.add(worker);
            }
        }
        return trusted.isEmpty() ? workers.values() : trusted;
    }
}
