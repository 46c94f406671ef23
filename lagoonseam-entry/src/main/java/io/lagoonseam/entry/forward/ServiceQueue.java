package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.ChoiceRequest;
import io.lagoonseam.core.forward.FailureComparison;
import io.lagoonseam.core.forward.FirstEventTimeEstimate;
import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PromptSizes;
import io.lagoonseam.core.forward.RequestQueue;
import io.lagoonseam.core.forward.ServiceRetryBudget;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;

/** The state of one service at this node: its workers, its queued requests and its retry budget. */
final class ServiceQueue {

    private final Map<String, UpstreamState> workers = new LinkedHashMap<>();
    private final RequestQueue<ForwardedRequest> queuedRequests = new RequestQueue<>();
    private final UpstreamChooser engineChooser;
    private final UpstreamChooser plainChooser;
    private final ServiceRetryBudget retryBudget;
    private final FirstEventTimeEstimate firstEventTime = new FirstEventTimeEstimate();
    private final PromptSizes promptSizes = new PromptSizes();
    private long kvCapacityTokens;
    private boolean modelEngine;
    private int connectionsPerWorker = Integer.MAX_VALUE;

    ServiceQueue(UpstreamChooser engineChooser, UpstreamChooser plainChooser, ServiceRetryBudget retryBudget) {
        this.engineChooser = engineChooser;
        this.plainChooser = plainChooser;
        this.retryBudget = retryBudget;
    }

    void modelEngine(boolean value) {
        this.modelEngine = value;
    }

    /** Sets the KV-cache capacity of each worker, in tokens; 0 disables the memory check. */
    void kvCapacityTokens(long value) {
        this.kvCapacityTokens = value;
    }

    void connectionsPerWorker(int value) {
        this.connectionsPerWorker = value;
    }

    ServiceRetryBudget retryBudget() {
        return retryBudget;
    }

    /** Creates the state of a new worker. */
    UpstreamState newState(UpstreamRecord record) {
        return new UpstreamState(record, firstEventTime, promptSizes);
    }

    /** Records a prompt that is sent: its size and how much of it the worker still has to read (prefill), in tokens. */
    void observePrompt(Lane lane, long tokens, long unreadTokens) {
        promptSizes.observe(lane, tokens, unreadTokens);
    }

    Map<String, UpstreamState> workers() {
        return workers;
    }

    RequestQueue<ForwardedRequest> queuedRequests() {
        return queuedRequests;
    }

    /** Records the outcome of an attempt. */
    void observe(UpstreamState worker, OutlierDetector.Outcome outcome, long nowMillis) {
        worker.recentOutcomes().observe(outcome != OutlierDetector.Outcome.ANSWERED, nowMillis);
        OutcomeCount others = outcomes(nowMillis).minus(worker.outcomes(nowMillis));
        worker.outlierDetector().observe(outcome, nowMillis, others);
    }

    /**
     * Ejects the workers whose failure rate, counted over all nodes, is above that of the others.
     *
     * @return the workers ejected by this call
     */
    List<UpstreamState> ejectFailing(long nowMillis) {
        OutcomeCount all = outcomes(nowMillis);
        List<UpstreamState> failing = new ArrayList<>();
        for (UpstreamState worker : workers.values()) {
            OutcomeCount own = worker.outcomes(nowMillis);
            if (FailureComparison.failsMoreOften(own, all.minus(own))
                    && worker.outlierDetector().ejectOutlier(nowMillis)) {
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
     * Chooses a worker for a request. Candidates are the workers that are below this node's connection limit and either
     * not ejected or due for a half-open probe; if there are none, all workers. Workers already tried for the request
     * are chosen only if no other can be.
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
                                request.remainingObjectiveMillis(nowMillis),
                                dataCentre,
                                kvCapacityTokens,
                                avoided,
                                nowMillis),
                        from);
        Optional<UpstreamChooser.Choice> fresh = choice.apply(request.triedWorkers(), candidates);
        return fresh.isPresent() || request.triedWorkers().isEmpty() ? fresh : choice.apply(Set.of(), candidates);
    }

    /** Returns the candidates. A paused worker is none, even if there is no other. */
    private Collection<UpstreamState> candidates(long nowMillis) {
        List<UpstreamState> eligible = new ArrayList<>();
        List<UpstreamState> unpaused = new ArrayList<>();
        for (UpstreamState worker : workers.values()) {
            if (worker.pauseMillis(nowMillis) > 0) {
                continue;
            }
            unpaused.add(worker);
            if (worker.outlierDetector().acceptsRequests(nowMillis) && worker.ownInFlight() < connectionsPerWorker) {
                eligible.add(worker);
            }
        }
        return eligible.isEmpty() ? unpaused : eligible;
    }

    /**
     * Returns the time until the first worker ends its pause, in milliseconds; 0 if one is not paused or there is none.
     */
    long pauseMillis(long nowMillis) {
        return workers.values().stream()
                .mapToLong(worker -> worker.pauseMillis(nowMillis))
                .min()
                .orElse(0);
    }
}
