package io.lagoonseam.core.forward;

import io.lagoonseam.core.ratelimit.Permit;
import io.lagoonseam.core.ratelimit.PermitSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The workers of one service as one node sees them, and the choice among them. Not thread-safe. */
public final class ServiceWorkers {

    private final Map<String, UpstreamState> workers = new LinkedHashMap<>();
    private final UpstreamChooser engineChooser;
    private final UpstreamChooser plainChooser;
    private final FirstEventTimeEstimate firstEventTime = new FirstEventTimeEstimate();
    private final PromptSizes promptSizes = new PromptSizes();
    private long kvCapacityTokens;
    private boolean modelEngine;
    private final PermitSource permits;
    private int connectionsPerWorker = Integer.MAX_VALUE;

    /**
     * Creates a set without workers.
     *
     * @param engineChooser chooses among model engines
     * @param plainChooser chooses among the workers of plain services
     * @param permits provides the permits for workers that limit the rate of their requests
     */
    public ServiceWorkers(UpstreamChooser engineChooser, UpstreamChooser plainChooser, PermitSource permits) {
        this.engineChooser = engineChooser;
        this.plainChooser = plainChooser;
        this.permits = permits;
    }

    /**
     * Sets whether the workers are model engines.
     *
     * @param value true for model engines, false for a plain service
     */
    public void modelEngine(boolean value) {
        this.modelEngine = value;
    }

    /**
     * Sets the KV-cache capacity of each worker.
     *
     * @param value the capacity in tokens; 0 disables the memory check
     */
    public void kvCapacityTokens(long value) {
        this.kvCapacityTokens = value;
    }

    /**
     * Returns the KV-cache capacity of each worker.
     *
     * @return the capacity in tokens; 0 if it is unknown
     */
    public long kvCapacityTokens() {
        return kvCapacityTokens;
    }

    /**
     * Sets the maximum number of requests that are sent to a worker at the same time.
     *
     * @param value the number of requests
     */
    public void connectionsPerWorker(int value) {
        this.connectionsPerWorker = value;
    }

    /**
     * Creates the state of a new worker.
     *
     * @param record its record
     * @return the state, which is not added to the workers
     */
    public UpstreamState newState(UpstreamRecord record) {
        return new UpstreamState(record, firstEventTime, promptSizes);
    }

    /**
     * Records a prompt that is sent.
     *
     * @param lane its lane
     * @param tokens its size, in tokens
     * @param unreadTokens how much of it the worker still has to read (prefill), in tokens
     */
    public void observePrompt(Lane lane, long tokens, long unreadTokens) {
        promptSizes.observe(lane, tokens, unreadTokens);
    }

    /**
     * Returns the workers, including ejected ones.
     *
     * @return the live map of their states by id
     */
    public Map<String, UpstreamState> workers() {
        return workers;
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param worker the worker
     * @param outcome the outcome
     * @param nowMillis the current time, in milliseconds
     */
    public void observe(UpstreamState worker, OutlierDetector.Outcome outcome, long nowMillis) {
        worker.recentOutcomes().observe(outcome != OutlierDetector.Outcome.ANSWERED, nowMillis);
        OutcomeCount others = outcomes(nowMillis).minus(worker.outcomes(nowMillis));
        worker.outlierDetector().observe(outcome, nowMillis, others);
    }

    /**
     * Ejects the workers whose failure rate, counted over all nodes, is above that of the others.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the workers ejected by this call
     */
    public List<UpstreamState> ejectFailing(long nowMillis) {
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

    /**
     * Chooses a worker for a request. Candidates are the workers of the demanded software version that are not paused,
     * for which a permit is available, below the connection limit, and either not ejected or due for a half-open probe;
     * if there are none, all that are not paused and for which a permit is available. Workers already tried for the
     * request are chosen only if no other can be. {@link #takePermit} has to be called for the chosen worker before the
     * next choice.
     *
     * @param demand what the request asks
     * @param nowMillis the current time, in milliseconds
     * @return the choice, or empty if the request should wait
     */
    public Optional<UpstreamChooser.Choice> choose(WorkerDemand demand, long nowMillis) {
        return choose(demand, PromptRoom.UNLIMITED, nowMillis);
    }

    /**
     * Chooses a worker for a request as {@link #choose(WorkerDemand, long)} does, among those with room for its prompt
     * and those that are idle.
     *
     * @param demand what the request asks
     * @param room tells which workers have room
     * @param nowMillis the current time, in milliseconds
     * @return the choice, or empty if the request should wait
     */
    public Optional<UpstreamChooser.Choice> choose(WorkerDemand demand, PromptRoom room, long nowMillis) {
        return choose(demand, room, false, nowMillis);
    }

    /**
     * Chooses a worker for a request as {@link #choose(WorkerDemand, long)} does, but takes the fastest worker with a
     * free slot if the objective will be missed at all of them.
     *
     * @param demand what the request asks
     * @param nowMillis the current time, in milliseconds
     * @return the choice, or empty if no worker has a free slot
     */
    public Optional<UpstreamChooser.Choice> chooseEvenIfLate(WorkerDemand demand, long nowMillis) {
        return choose(demand, PromptRoom.UNLIMITED, true, nowMillis);
    }

    private Optional<UpstreamChooser.Choice> choose(
            WorkerDemand demand, PromptRoom room, boolean acceptsLate, long nowMillis) {
        Collection<UpstreamState> candidates = candidates(demand, nowMillis);
        Optional<UpstreamChooser.Choice> fresh =
                choose(demand, demand.triedWorkers(), candidates, room, acceptsLate, nowMillis);
        return fresh.isPresent() || demand.triedWorkers().isEmpty()
                ? fresh
                : choose(demand, Set.of(), candidates, room, acceptsLate, nowMillis);
    }

    private Optional<UpstreamChooser.Choice> choose(
            WorkerDemand demand,
            Set<String> excluded,
            Collection<UpstreamState> candidates,
            PromptRoom room,
            boolean acceptsLate,
            long nowMillis) {
        UpstreamChooser chooser = modelEngine ? engineChooser : plainChooser;
        return chooser.choose(
                demand.choiceRequest(kvCapacityTokens, excluded, acceptsLate, room, nowMillis), candidates);
    }

    /** Returns the candidates. A paused worker, or one without a permit, is none, even if there is no other. */
    private Collection<UpstreamState> candidates(WorkerDemand demand, long nowMillis) {
        List<UpstreamState> eligible = new ArrayList<>();
        List<UpstreamState> admissible = new ArrayList<>();
        for (UpstreamState worker : workers.values()) {
            boolean admitted = demand.allows(worker.record())
                    && worker.pauseMillis(nowMillis) == 0
                    && permits.available(worker.incarnation(), demand.priority());
            if (!admitted) {
                continue;
            }
            admissible.add(worker);
            if (worker.outlierDetector().acceptsRequests(nowMillis) && worker.ownInFlight() < connectionsPerWorker) {
                eligible.add(worker);
            }
        }
        return eligible.isEmpty() ? admissible : eligible;
    }

    /**
     * Returns whether a stream may go on at another worker than the one that has it.
     *
     * @param softwareVersion the software version that began the stream, empty before its first event
     * @param worker the worker that has it
     * @return whether there is another worker of that version
     */
    public boolean mayGoOnElsewhere(String softwareVersion, UpstreamState worker) {
        return softwareVersion.isEmpty()
                || workers.values().stream()
                        .anyMatch(other -> !other.equals(worker)
                                && other.record().softwareVersion().equals(softwareVersion));
    }

    /**
     * Takes the permit to send one request to a worker.
     *
     * @param worker the worker, as it was chosen
     * @return the permit
     */
    public Permit takePermit(UpstreamState worker) {
        return permits.take(worker.incarnation());
    }

    /**
     * Returns the expected time until a request that waits can be sent, if all workers that are not paused limit the
     * rate of their requests.
     *
     * @param requestsAhead the number of requests that are sent before it
     * @param nowMillis the current time, in milliseconds
     * @return the time in milliseconds; 0 if a worker has no limit, or if all are paused
     */
    public long limitBacklogMillis(long requestsAhead, long nowMillis) {
        double perSecond = workers.values().stream()
                .filter(worker -> worker.pauseMillis(nowMillis) == 0)
                .mapToDouble(worker -> permits.limitPerSecond(worker.incarnation()))
                .sum();
        return perSecond == 0 ? 0 : Math.round(TimeUnit.SECONDS.toMillis(1) * (1 + requestsAhead) / perSecond);
    }

    /**
     * Returns the time until the first worker ends its pause.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the time in milliseconds; 0 if a worker is not paused, or if there is none
     */
    public long pauseMillis(long nowMillis) {
        return workers.values().stream()
                .mapToLong(worker -> worker.pauseMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /**
     * Returns the prompt tokens that the workers of a lane read in a millisecond.
     *
     * @param lane the lane
     * @return the sum over its workers; 0 without workers
     */
    public double tokensPerMilli(Lane lane) {
        return workers.values().stream()
                .filter(worker -> worker.lane() == lane)
                .mapToDouble(worker -> 1 / worker.firstEventTime().readingMillis(1))
                .sum();
    }

    /**
     * Returns the expected time in which the workers of a lane read the prompts that they already have.
     *
     * @param lane the lane
     * @param nowMillis the current time, in milliseconds
     * @return the mean over its workers, in milliseconds; 0 without workers
     */
    public double backlogMillis(Lane lane, long nowMillis) {
        return workers.values().stream()
                .filter(worker -> worker.lane() == lane)
                .mapToDouble(worker -> worker.firstEventTime().readingMillis(worker.pendingTokens(nowMillis)))
                .average()
                .orElse(0);
    }
}
