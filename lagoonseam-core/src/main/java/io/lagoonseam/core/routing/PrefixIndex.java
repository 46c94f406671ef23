package io.lagoonseam.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which blocks each worker probably holds: those of requests sent there, corrected by cache events that may come late
 * or not at all. Entries that nothing has confirmed for long are forgotten. Not thread-safe.
 */
public final class PrefixIndex {

    private static final int CAPACITY_BLOCKS = 4_096;
    private static final long TRUST_MILLIS = 60_000;
    private static final long GAP_TRUST_MILLIS = 5_000;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, WorkerBlocks> workers = new HashMap<>();

    private static final class WorkerBlocks {
        private final Map<Integer, Long> confirmedAtMillis = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
                return size() > CAPACITY_BLOCKS;
            }
        };
        private long lastSequence;
        private long distrustedBeforeMillis = Long.MIN_VALUE;

        private boolean holds(int block, long nowMillis) {
            Long confirmed = confirmedAtMillis.get(block);
            return confirmed != null && nowMillis - confirmed <= TRUST_MILLIS && confirmed >= distrustedBeforeMillis;
        }
    }

    /**
     * Notes that a request was sent to a worker, which then caches its prompt.
     *
     * @param worker the worker's name
     * @param prefix the blocks of the prompt
     * @param nowMillis the monotonic time
     */
    public void routed(String worker, PromptPrefix prefix, long nowMillis) {
        WorkerBlocks blocks = workers.computeIfAbsent(worker, name -> new WorkerBlocks());
        for (int index = 0; index < prefix.blocks(); index++) {
            blocks.confirmedAtMillis.put(prefix.blockId(index), nowMillis);
        }
    }

    /**
     * Applies a cache event. After a gap in the sequence, what was last confirmed well before it is not trusted.
     *
     * @param worker the worker's name
     * @param event the event
     * @param nowMillis the monotonic time
     */
    public void apply(String worker, CacheEvent event, long nowMillis) {
        WorkerBlocks blocks = workers.computeIfAbsent(worker, name -> new WorkerBlocks());
        if (event.sequence() <= blocks.lastSequence) {
            return;
        }
        if (event.sequence() > blocks.lastSequence + 1 && blocks.lastSequence > 0) {
            blocks.distrustedBeforeMillis = nowMillis - GAP_TRUST_MILLIS;
        }
        blocks.lastSequence = event.sequence();
        if (event.stored()) {
            blocks.confirmedAtMillis.put(event.block(), nowMillis);
        } else {
            blocks.confirmedAtMillis.remove(event.block());
        }
    }

    /**
     * Returns the sequence number of the last event of a worker.
     *
     * @param worker the worker's name
     * @return the number, or 0 if none came
     */
    public long lastSequence(String worker) {
        WorkerBlocks blocks = workers.get(worker);
        return blocks == null ? 0 : blocks.lastSequence;
    }

    /**
     * Returns how many leading blocks of a prompt a worker probably holds.
     *
     * @param worker the worker's name
     * @param prefix the blocks of the prompt
     * @param nowMillis the monotonic time
     * @return blocks from the first one without a gap
     */
    public int cachedBlocks(String worker, PromptPrefix prefix, long nowMillis) {
        WorkerBlocks blocks = workers.get(worker);
        int cached = 0;
        while (blocks != null && cached < prefix.blocks() && blocks.holds(prefix.blockId(cached), nowMillis)) {
            cached++;
        }
        return cached;
    }

    /**
     * Forgets a worker that went away or lost its memory.
     *
     * @param worker the worker's name
     */
    public void forget(String worker) {
        workers.remove(worker);
    }
}
