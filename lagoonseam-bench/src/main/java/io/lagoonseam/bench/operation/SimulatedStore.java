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

/** The platform in virtual time: slow, down, or losing answers of writes that take effect then or later. */
public final class SimulatedStore {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long LATE_EFFECT_MILLIS = 2_000;
    private static final long LOST_ANSWER_MILLIS = 1_000;

    private final Map<String, ReadResult.Found> objects = new HashMap<>();
    private final Map<Long, Integer> writesBySecond = new HashMap<>();
    private final VirtualTime time;
    private final RandomGenerator random;
    private long revision;
    private long writes;
    private long largestValueBytes;
    private long answerMillis = 5;
    private boolean outage;
    private double loseAnswersShare;

    /**
     * Creates an empty store.
     *
     * @param time the virtual clock
     * @param random the source of faults
     */
    public SimulatedStore(VirtualTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /**
     * Sets the faults.
     *
     * @param millis the time of an answer
     * @param down whether calls are refused
     * @param loseShare the share of writes whose answer is lost
     */
    public void faults(long millis, boolean down, double loseShare) {
        answerMillis = millis;
        outage = down;
        loseAnswersShare = loseShare;
    }

    /**
     * Returns the write calls so far.
     *
     * @return calls of every result
     */
    public long writes() {
        return writes;
    }

    /**
     * Returns the size of the largest value.
     *
     * @return bytes
     */
    public long largestValueBytes() {
        return largestValueBytes;
    }

    /**
     * Returns the most write calls within one second.
     *
     * @return calls
     */
    public int mostWritesInOneSecond() {
        return writesBySecond.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    /**
     * Returns the store as one node reaches it.
     *
     * @param node the node, which gets answers only while it runs
     * @return the view
     */
    public ObjectStore viewOf(SimulatedNode node) {
        return new View(node);
    }

    private final class View implements ObjectStore {

        private final SimulatedNode node;

        private View(SimulatedNode node) {
            this.node = node;
        }

        private <T> CompletionStage<T> answer(long delayMillis, T result) {
            CompletableFuture<T> future = new CompletableFuture<>();
            time.schedule(delayMillis, () -> node.deliver(() -> future.complete(result)));
            return future;
        }

        @Override
        public CompletionStage<ReadResult> read(String name) {
            if (outage) {
                return answer(answerMillis, new ReadResult.Unavailable("outage"));
            }
            ReadResult.Found found = objects.get(name);
            return answer(answerMillis, found == null ? new ReadResult.Absent() : found);
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
                return answer(answerMillis, new WriteResult.Unavailable("refused"));
            }
            if (random.nextDouble() < loseAnswersShare) {
                long effectMillis = random.nextBoolean() ? 0 : random.nextLong(LATE_EFFECT_MILLIS);
                time.schedule(effectMillis, () -> apply(name, value, condition));
                return answer(LOST_ANSWER_MILLIS, new WriteResult.Unknown("answer lost"));
            }
            return answer(answerMillis, apply(name, value, condition));
        }

        @Override
        public CompletionStage<ListResult> list(String prefix) {
            return answer(answerMillis, new ListResult.Unavailable("not part of the run"));
        }

        @Override
        public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
            return answer(answerMillis, new WatchResult.Unavailable("not part of the run"));
        }
    }

    private WriteResult apply(String name, byte[] value, WriteCondition condition) {
        ReadResult.Found stored = objects.get(name);
        boolean holds = condition instanceof WriteCondition.IfVersion ifVersion
                ? stored != null && stored.version() == ifVersion.version()
                : condition instanceof WriteCondition.Always || stored == null;
        if (!holds) {
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
