package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

/** This node's view of one worker: its record, the requests in flight, and its responses. */
public final class UpstreamState {

    /**
     * How long a load report sent with an answer to this node is valid, in milliseconds: about the age of peers' load
     * reports on arrival.
     */
    private static final long DIRECT_LOAD_VALID_MILLIS = 300;

    /**
     * How long a load report forwarded by a peer is valid, in milliseconds: two rounds of the forward state exchange
     * longer.
     */
    private static final long FORWARDED_LOAD_VALID_MILLIS = 800;

    /** What is left of a prompt that an engine has begun to read, in tokens: half of a long one. */
    private static final long MAX_BEGUN_TOKENS = 8_000;

    private final long hash;
    private final WorkerIncarnation incarnation;
    private final OutlierDetector outlierDetector = new OutlierDetector();
    private final FirstEventTimeEstimate firstEventTime;
    private final PromptSizes promptSizes;
    private final CachedSegments cachedSegments = new CachedSegments();
    private final RecentOutcomes recentOutcomes = new RecentOutcomes();
    private final PeerReports<PeerLoad> peerLoads = new PeerReports<>();
    private final PeerReports<OutcomeCount> peerOutcomes = new PeerReports<>();
    private UpstreamRecord record;
    private Lane lane = Lane.TOLERANT;
    private int inFlight;
    private long pendingTokens;
    /** The unread tokens of requests with a priority, by priority; requests without one are not in it. */
    private final NavigableMap<Integer, Long> pendingByPriority = new TreeMap<>();

    private long occupiedKvTokens;
    private WorkerLoad directLoad = WorkerLoad.NONE;
    private long directLoadAtMillis = Long.MIN_VALUE / 2;
    private WorkerLoad forwardedLoad = WorkerLoad.NONE;
    private long forwardedLoadAtMillis = Long.MIN_VALUE / 2;

    private long pausedUntilMillis = Long.MIN_VALUE;

    private record PeerLoad(int inFlight, long pendingTokens) {}

    /**
     * Creates the state of a worker without requests in flight.
     *
     * @param record its record
     * @param serviceEstimate the estimate of the time to first event over all workers of its service
     * @param promptSizes the prompt sizes of its service
     */
    public UpstreamState(UpstreamRecord record, FirstEventTimeEstimate serviceEstimate, PromptSizes promptSizes) {
        this.record = record;
        this.promptSizes = promptSizes;
        this.firstEventTime = new FirstEventTimeEstimate(serviceEstimate);
        this.hash = Rendezvous.hash(record.id());
        this.incarnation = record.incarnation();
    }

    /**
     * Returns the worker's record.
     *
     * @return the latest record
     */
    public UpstreamRecord record() {
        return record;
    }

    /**
     * Sets a newer record of the same incarnation.
     *
     * @param value the record
     */
    public void record(UpstreamRecord value) {
        this.record = value;
    }

    /**
     * Returns the lifetime of the worker, which all its records have in common.
     *
     * @return the lifetime
     */
    public WorkerIncarnation incarnation() {
        return incarnation;
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
     * Returns the lane whose requests prefer this worker.
     *
     * @return the lane
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
     * Returns the worker's outlier detection.
     *
     * @return the outlier detection
     */
    public OutlierDetector outlierDetector() {
        return outlierDetector;
    }

    /**
     * Returns the estimate of the worker's time to first event.
     *
     * @return the estimate
     */
    public FirstEventTimeEstimate firstEventTime() {
        return firstEventTime;
    }

    /**
     * Returns the prefix segments that the worker is presumed to have cached.
     *
     * @return the cached prefix segments
     */
    public CachedSegments cachedSegments() {
        return cachedSegments;
    }

    /**
     * Records that a request has been sent to the worker.
     *
     * @param unreadTokens the prompt tokens that the worker has to read for it
     * @param promptTokens the tokens of the whole prompt, which occupy the worker's KV cache until the request ends
     */
    public void started(long unreadTokens, long promptTokens) {
        inFlight++;
        pendingTokens += unreadTokens;
        occupiedKvTokens += promptTokens;
        outlierDetector.requestSent();
    }

    /**
     * Records that a request with a priority has been sent to the worker, or that its prompt has been read. Called
     * besides {@link #started} and {@link #promptRead}.
     *
     * @param priority its priority; 0 is the most urgent
     * @param tokens the prompt tokens that the worker has to read for it; negative once it has read them
     */
    public void addPending(int priority, long tokens) {
        pendingByPriority.merge(priority, tokens, Long::sum);
    }

    /**
     * Returns the estimated prompt tokens that the worker reads before those of a request. Engines read the prompts of
     * more urgent requests first, but finish the one that they have begun.
     *
     * @param nowMillis the current time, in milliseconds
     * @param priority the priority of the request, if the priorities of all requests in flight are known
     * @return the number of tokens
     */
    public long pendingTokens(long nowMillis, OptionalInt priority) {
        if (priority.isEmpty()) {
            return pendingTokens(nowMillis);
        }
        long before = sum(pendingByPriority.headMap(priority.getAsInt(), true));
        long after = sum(pendingByPriority.tailMap(priority.getAsInt(), false));
        return before + Math.min(after, MAX_BEGUN_TOKENS);
    }

    private static long sum(Map<Integer, Long> tokens) {
        return tokens.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Records that the prompt of a request no longer has to be read: its first event has arrived or the request has
     * ended.
     *
     * @param unreadTokens the unread tokens that were passed to {@link #started}
     */
    public void promptRead(long unreadTokens) {
        pendingTokens -= unreadTokens;
    }

    /**
     * Records the end of a request.
     *
     * @param promptTokens the tokens of its whole prompt
     */
    public void ended(long promptTokens) {
        inFlight--;
        occupiedKvTokens -= promptTokens;
    }

    /**
     * Returns the estimated number of tokens that the prompts of all nodes' requests occupy in the worker's KV cache.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the tokens of this node's prompts, plus the number of other requests times the mean prompt size
     */
    public double occupiedKvTokens(long nowMillis) {
        return occupiedKvTokens + Math.max(0, inFlight(nowMillis) - inFlight) * promptSizes.meanTokens(lane);
    }

    /**
     * Pauses the worker: it has asked for no new requests until a point in time.
     *
     * @param untilMillis the point in time, in milliseconds; ignored if a later one is known
     */
    public void pauseUntil(long untilMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, untilMillis);
    }

    /**
     * Returns the remaining time for which the worker has asked for no new requests.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the time in milliseconds, 0 if the worker is not paused
     */
    public long pauseMillis(long nowMillis) {
        return pausedUntilMillis <= nowMillis ? 0 : pausedUntilMillis - nowMillis;
    }

    /**
     * Returns the number of this node's requests at the worker.
     *
     * @return the number of requests
     */
    public int ownInFlight() {
        return inFlight;
    }

    /**
     * Returns the prompt tokens of this node's requests that the worker has not read yet.
     *
     * @return the number of tokens
     */
    public long ownPendingTokens() {
        return pendingTokens;
    }

    /**
     * Records a peer's load report.
     *
     * @param peer the name of the peer
     * @param requests the number of its requests at the worker
     * @param unreadTokens the prompt tokens of its requests that the worker has not read yet
     * @param nowMillis the current time, in milliseconds
     */
    public void recordPeerLoad(String peer, int requests, long unreadTokens, long nowMillis) {
        if (requests == 0 && unreadTokens == 0) {
            peerLoads.remove(peer);
        } else {
            peerLoads.put(peer, new PeerLoad(requests, unreadTokens), nowMillis);
        }
    }

    /**
     * Returns the outcomes of this node's recent attempts at the worker.
     *
     * @return the outcomes within {@link RecentOutcomes#WINDOW_MILLIS}
     */
    public RecentOutcomes recentOutcomes() {
        return recentOutcomes;
    }

    /**
     * Records the outcomes of a peer's recent attempts at the worker.
     *
     * @param peer the name of the peer
     * @param count the outcomes
     * @param nowMillis the current time, in milliseconds
     */
    public void recordPeerOutcomes(String peer, OutcomeCount count, long nowMillis) {
        peerOutcomes.put(peer, count, nowMillis);
    }

    /**
     * Returns the outcomes of the recent attempts of this node and of all peers with a valid report.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the sum
     */
    public OutcomeCount outcomes(long nowMillis) {
        OutcomeCount peers = new OutcomeCount((int) peerOutcomes.sum(nowMillis, OutcomeCount::outcomes), (int)
                peerOutcomes.sum(nowMillis, OutcomeCount::failures));
        return recentOutcomes.count(nowMillis).plus(peers);
    }

    /**
     * Records the load report that the worker sent with an answer.
     *
     * @param load the requests of all nodes
     * @param nowMillis the current time, in milliseconds
     */
    public void recordDirectLoad(WorkerLoad load, long nowMillis) {
        directLoad = load;
        directLoadAtMillis = nowMillis;
    }

    /**
     * Returns the latest load report from the worker to this node if it is recent enough to be forwarded to peers.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the load report, or empty if there is none or it is too old
     */
    public Optional<WorkerLoad> recentDirectLoad(long nowMillis) {
        boolean fresh = nowMillis - directLoadAtMillis <= FORWARDED_LOAD_VALID_MILLIS - DIRECT_LOAD_VALID_MILLIS;
        return fresh ? Optional.of(directLoad) : Optional.empty();
    }

    /**
     * Records a load report of the worker forwarded by the forward state exchange. Such reports are forwarded in large
     * deployments, where the load reports of all peers do not arrive in time.
     *
     * @param load the requests of all nodes
     * @param nowMillis the current time, in milliseconds
     */
    public void recordForwardedLoad(WorkerLoad load, long nowMillis) {
        forwardedLoad = load;
        forwardedLoadAtMillis = nowMillis;
    }

    /**
     * Returns the estimated number of requests of all nodes at the worker.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the sum of the nodes' counts or the worker's last valid load report, whichever is larger
     */
    public int inFlight(long nowMillis) {
        int sum = inFlight + (int) peerLoads.sum(nowMillis, PeerLoad::inFlight);
        if (nowMillis - directLoadAtMillis <= DIRECT_LOAD_VALID_MILLIS) {
            return Math.max(sum, directLoad.requests());
        }
        return nowMillis - forwardedLoadAtMillis <= FORWARDED_LOAD_VALID_MILLIS
                ? Math.max(sum, forwardedLoad.requests())
                : sum;
    }

    /**
     * Returns the estimated prompt tokens of all nodes' requests that the worker has not read yet.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the sum of the nodes' counts, or the number of requests without a first token in the forwarded load
     *     report times the mean unread tokens of a prompt, whichever is larger
     */
    public long pendingTokens(long nowMillis) {
        long sum = pendingTokens + peerLoads.sum(nowMillis, PeerLoad::pendingTokens);
        if (nowMillis - forwardedLoadAtMillis > FORWARDED_LOAD_VALID_MILLIS) {
            return sum;
        }
        return Math.max(sum, Math.round(forwardedLoad.waiting() * promptSizes.meanUnreadTokens(lane)));
    }
}
