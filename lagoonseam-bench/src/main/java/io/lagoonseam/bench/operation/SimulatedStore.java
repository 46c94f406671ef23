package io.lagoonseam.bench.operation;

import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/**
 * Simulates the object store of the platform in simulated time. It can be slow, be down, or lose the answers of writes;
 * such a write takes effect at once or up to 2,000 ms later.
 */
public final class SimulatedStore {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MAX_LATE_EFFECT_MILLIS = 2_000;
    private static final long LOST_ANSWER_TIMEOUT_MILLIS = 1_000;

    private final Map<String, ReadResult.Found> objects = new HashMap<>();
    private final Map<Long, Integer> writesBySecond = new HashMap<>();
    private final SimulatedTime time;
    private final RandomGenerator random;
    private long revision;
    private long writes;
    private long largestValueBytes;
    private long responseMillis = 5;
    private boolean outage;
    private double answerLossShare;

    /**
     * Creates an empty store.
     *
     * @param time the simulated clock
     * @param random the source of all random choices
     */
    public SimulatedStore(SimulatedTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /**
     * Sets the response time and the faults.
     *
     * @param millis the time in milliseconds until a call is answered
     * @param down whether calls are refused
     * @param lossShare the share of writes whose answer is lost, from 0 to 1
     */
    public void setFaults(long millis, boolean down, double lossShare) {
        responseMillis = millis;
        outage = down;
        answerLossShare = lossShare;
    }

    /**
     * Returns the number of write and delete calls so far.
     *
     * @return a number of calls, whatever their result
     */
    public long writes() {
        return writes;
    }

    /**
     * Returns the size of the largest value written so far.
     *
     * @return a size in bytes
     */
    public long largestValueBytes() {
        return largestValueBytes;
    }

    /**
     * Returns the largest number of write and delete calls within one second.
     *
     * @return a number of calls
     */
    public int mostWritesInOneSecond() {
        return writesBySecond.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    /**
     * Returns the store as seen by one node.
     *
     * @param node the node; it receives answers only while it runs; those due during a pause are delivered when it
     *     resumes
     * @return the view
     */
    public ObjectStore viewOf(SimulatedNode node) {
        return new NodeView(node);
    }

    private final class NodeView implements ObjectStore {

        private final SimulatedNode node;

        private NodeView(SimulatedNode node) {
            this.node = node;
        }

        private <T> CompletionStage<T> respond(long delayMillis, T result) {
            CompletableFuture<T> future = new CompletableFuture<>();
            time.schedule(delayMillis, () -> node.deliver(() -> future.complete(result)));
            return future;
        }

        @Override
        public CompletionStage<ReadResult> read(String name) {
            if (outage) {
                return respond(responseMillis, new ReadResult.Unavailable("outage"));
            }
            ReadResult.Found found = objects.get(name);
            return respond(responseMillis, found == null ? new ReadResult.Absent() : found);
        }

        @Override
        public CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
            return change(name, value, condition);
        }

        @Override
        public CompletionStage<WriteResult> delete(String name, WriteCondition condition) {
            return change(name, null, condition);
        }

        private CompletionStage<WriteResult> change(String name, byte[] value, WriteCondition condition) {
            writes++;
            writesBySecond.merge(time.wallMillis() / MILLIS_PER_SECOND, 1, Integer::sum);
            if (outage || value != null && value.length > VALUE_LIMIT_BYTES) {
                return respond(responseMillis, new WriteResult.Unavailable("refused"));
            }
            if (random.nextDouble() < answerLossShare) {
                long effectMillis = random.nextBoolean() ? 0 : random.nextLong(MAX_LATE_EFFECT_MILLIS);
                time.schedule(effectMillis, () -> apply(name, value, condition));
                return respond(LOST_ANSWER_TIMEOUT_MILLIS, new WriteResult.Unknown("answer lost"));
            }
            return respond(responseMillis, apply(name, value, condition));
        }

        @Override
        public CompletionStage<ListResult> list(String prefix) {
            return respond(responseMillis, new ListResult.Unavailable("not part of the run"));
        }

        @Override
        public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
            return respond(responseMillis, new WatchResult.Unavailable("not part of the run"));
        }
    }

    private WriteResult apply(String name, byte[] value, WriteCondition condition) {
        ReadResult.Found stored = objects.get(name);
        boolean conditionMet = condition instanceof WriteCondition.IfVersion ifVersion
                ? stored != null && stored.version() == ifVersion.version()
                : condition instanceof WriteCondition.Always || stored == null;
        if (!conditionMet) {
            return new WriteResult.Conflict();
        }
        revision++;
        if (value == null) {
            objects.remove(name);
        } else {
            largestValueBytes = Math.max(largestValueBytes, value.length);
            objects.put(name, new ReadResult.Found(revision, value.clone()));
        }
        return new WriteResult.Written(revision);
    }
}
