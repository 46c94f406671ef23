package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.Optional;

/** What this node knows of one worker: its record, what is in flight there, and how it answers. */
public final class UpstreamState {

    /** How long a worker's own count holds, in milliseconds: about the age that reports have when they arrive. */
    private static final long HINT_MILLIS = 300;

    /** How long a worker's own count holds that a peer has passed on, in milliseconds: two rounds more. */
    private static final long PASSED_ON_MILLIS = 800;

    private final long hash;
    private final UpstreamTrust trust = new UpstreamTrust();
    private final FirstEventTime firstEventTime;
    private final PromptSizes promptSizes;
    private final KeptParts keptParts = new KeptParts();
    private final RecentOutcomes recentOutcomes = new RecentOutcomes();
    private final PeerReports<PeerCount> peerCounts = new PeerReports<>();
    private final PeerReports<OutcomeCount> peerOutcomes = new PeerReports<>();
    private UpstreamRecord record;
    private Lane lane = Lane.TOLERANT;
    private int inFlight;
    private long pendingTokens;
    private long heldTokens;
    private WorkerLoad hinted = WorkerLoad.NONE;
    private long hintedAtMillis = Long.MIN_VALUE / 2;
    private WorkerLoad passedOn = WorkerLoad.NONE;
    private long passedOnAtMillis = Long.MIN_VALUE / 2;

    private record PeerCount(int inFlight, long pendingTokens) {}

    /**
     * Creates the state of a worker at which nothing is in flight.
     *
     * @param record its record
     * @param ofService how long the workers of its service take to a first event
     * @param promptSizes the sizes of its service's prompts
     */
    public UpstreamState(UpstreamRecord record, FirstEventTime ofService, PromptSizes promptSizes) {
        this.record = record;
        this.promptSizes = promptSizes;
        this.firstEventTime = new FirstEventTime(ofService);
        this.hash = Rendezvous.hash(record.id());
    }

    /**
     * Returns the worker's record.
     *
     * @return the newest one
     */
    public UpstreamRecord record() {
        return record;
    }

    /**
     * Takes a newer record of the same incarnation.
     *
     * @param value the record
     */
    public void record(UpstreamRecord value) {
        this.record = value;
    }

    /**
     * Returns the hash of the worker's id, for rendezvous hashing.
     *
     * @return the hash
     */
    public long hash() {
        return hash;
    }

    /**
     * Returns the lane that the worker serves first.
     *
     * @return its lane
     */
    public Lane lane() {
        return lane;
    }

    /**
     * Sets the lane.
     *
     * @param value the lane
     */
    public void lane(Lane value) {
        this.lane = value;
    }

    /**
     * Returns whether the worker is believed.
     *
     * @return its trust
     */
    public UpstreamTrust trust() {
        return trust;
    }

    /**
     * Returns how long the worker takes to a first event.
     *
     * @return the estimate
     */
    public FirstEventTime firstEventTime() {
        return firstEventTime;
    }

    /**
     * Returns the shared prompt parts that the worker has read.
     *
     * @return the parts
     */
    public KeptParts keptParts() {
        return keptParts;
    }

    /**
     * Notes a request on its way.
     *
     * @param tokens the prompt tokens that the worker has to read for it
     * @param promptTokens the tokens of its whole prompt, which the worker's memory holds until it ends
     */
    public void started(long tokens, long promptTokens) {
        inFlight++;
        pendingTokens += tokens;
        heldTokens += promptTokens;
        trust.sent();
    }

    /**
     * Notes that a request's prompt has been read, since its first event came or it ended before.
     *
     * @param tokens what {@link #started} was told
     */
    public void promptRead(long tokens) {
        pendingTokens -= tokens;
    }

    /**
     * Notes the end of a request.
     *
     * @param promptTokens the tokens of its whole prompt
     */
    public void ended(long promptTokens) {
        inFlight--;
        heldTokens -= promptTokens;
    }

    /**
     * Returns the tokens that the prompts of all nodes' requests hold in the worker's memory.
     *
     * @param nowMillis the time
     * @return own prompts as they are, those of peers by their number and the mean size
     */
    public double heldTokens(long nowMillis) {
        return heldTokens + Math.max(0, inFlight(nowMillis) - inFlight) * promptSizes.meanTokens(lane);
    }

    /**
     * Returns the requests of this node at the worker.
     *
     * @return a count
     */
    public int ownInFlight() {
        return inFlight;
    }

    /**
     * Returns the prompt tokens of this node's requests that the worker has not read yet.
     *
     * @return a count
     */
    public long ownPendingTokens() {
        return pendingTokens;
    }

    /**
     * Takes a peer's counts.
     *
     * @param peer the node
     * @param requests its requests at the worker
     * @param tokens its prompt tokens that the worker has not read yet
     * @param nowMillis the time
     */
    public void peerCount(String peer, int requests, long tokens, long nowMillis) {
        if (requests == 0 && tokens == 0) {
            peerCounts.remove(peer);
        } else {
            peerCounts.put(peer, new PeerCount(requests, tokens), nowMillis);
        }
    }

    /**
     * Returns what came of this node's latest attempts at the worker.
     *
     * @return the outcomes of the last seconds
     */
    public RecentOutcomes recentOutcomes() {
        return recentOutcomes;
    }

    /**
     * Takes what came of a peer's latest attempts at the worker.
     *
     * @param peer the node
     * @param count its count
     * @param nowMillis the time
     */
    public void peerOutcomes(String peer, OutcomeCount count, long nowMillis) {
        peerOutcomes.put(peer, count, nowMillis);
    }

    /**
     * Returns what came of the latest attempts of all nodes, as far as known.
     *
     * @param nowMillis the time
     * @return the sum
     */
    public OutcomeCount outcomes(long nowMillis) {
        OutcomeCount peers = new OutcomeCount((int) peerOutcomes.sum(nowMillis, OutcomeCount::outcomes), (int)
                peerOutcomes.sum(nowMillis, OutcomeCount::failures));
        return recentOutcomes.count(nowMillis).plus(peers);
    }

    /**
     * Takes the worker's own count, which came with an answer.
     *
     * @param load requests of all nodes
     * @param nowMillis the time
     */
    public void hint(WorkerLoad load, long nowMillis) {
        hinted = load;
        hintedAtMillis = nowMillis;
    }

    /**
     * Returns the worker's own count if it came lately with an answer to this node.
     *
     * @param nowMillis the time
     * @return the count, or empty
     */
    public Optional<WorkerLoad> freshHint(long nowMillis) {
        boolean fresh = nowMillis - hintedAtMillis <= PASSED_ON_MILLIS - HINT_MILLIS;
        return fresh ? Optional.of(hinted) : Optional.empty();
    }

    /**
     * Takes the worker's own count from the exchange, where the counts of all nodes do not arrive in time.
     *
     * @param load requests of all nodes
     * @param nowMillis the time
     */
    public void passedOnHint(WorkerLoad load, long nowMillis) {
        passedOn = load;
        passedOnAtMillis = nowMillis;
    }

    /**
     * Returns the requests of all nodes at the worker, as far as known.
     *
     * @param nowMillis the time
     * @return the larger of what the nodes tell and what the worker told lately
     */
    public int inFlight(long nowMillis) {
        int sum = inFlight + (int) peerCounts.sum(nowMillis, PeerCount::inFlight);
        if (nowMillis - hintedAtMillis <= HINT_MILLIS) {
            return Math.max(sum, hinted.requests());
        }
        return nowMillis - passedOnAtMillis <= PASSED_ON_MILLIS ? Math.max(sum, passedOn.requests()) : sum;
    }

    /**
     * Returns the prompt tokens of all nodes' requests that the worker has not read yet, as far as known.
     *
     * @param nowMillis the time
     * @return what the nodes tell, or the requests without a first token that the worker told times the mean of what
     *     such requests have to read, whichever is more
     */
    public long pendingTokens(long nowMillis) {
        long sum = pendingTokens + peerCounts.sum(nowMillis, PeerCount::pendingTokens);
        if (nowMillis - passedOnAtMillis > PASSED_ON_MILLIS) {
            return sum;
        }
        return Math.max(sum, Math.round(passedOn.waiting() * promptSizes.meanUnreadTokens(lane)));
    }
}
