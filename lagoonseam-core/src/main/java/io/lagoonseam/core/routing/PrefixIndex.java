package io.lagoonseam.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Index of the prompt blocks that each worker has probably cached. Entries come from the requests sent to a worker and
 * are corrected by its cache events, which may be late or lost. Entries that have not been confirmed for 60 s are
 * ignored. Not thread-safe.
 */
public final class PrefixIndex {

    /** Number of blocks stored per worker; the least recently used are evicted. */
    private static final int CAPACITY_BLOCKS = 4_096;

    private static final long ENTRY_TTL_MILLIS = 60_000;

    /** Maximum age of the entries that remain valid after a gap in the event sequence. */
    private static final long GAP_RETENTION_MILLIS = 5_000;

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
        private long invalidBeforeMillis = Long.MIN_VALUE;

        private boolean isCached(int block, long nowMillis) {
            Long confirmedMillis = confirmedAtMillis.get(block);
            return confirmedMillis != null
                    && nowMillis - confirmedMillis <= ENTRY_TTL_MILLIS
                    && confirmedMillis >= invalidBeforeMillis;
        }
    }

    /**
     * Records that a request was sent to a worker, which then caches the prompt.
     *
     * @param worker the worker's name
     * @param prefix the leading blocks of the prompt
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordRequest(String worker, PromptPrefix prefix, long nowMillis) {
        WorkerBlocks blocks = workers.computeIfAbsent(worker, name -> new WorkerBlocks());
        for (int index = 0; index < prefix.blocks(); index++) {
            blocks.confirmedAtMillis.put(prefix.blockId(index), nowMillis);
        }
    }

    /**
     * Applies a cache event. Events that are not newer than the last one are ignored. After a gap in the sequence,
     * entries last confirmed more than 5 s before it are no longer valid.
     *
     * @param worker the worker's name
     * @param event the event
     * @param nowMillis the monotonic time in milliseconds
     */
    public void apply(String worker, CacheEvent event, long nowMillis) {
        WorkerBlocks blocks = workers.computeIfAbsent(worker, name -> new WorkerBlocks());
        if (event.sequence() <= blocks.lastSequence) {
            return;
        }
        if (event.sequence() > blocks.lastSequence + 1 && blocks.lastSequence > 0) {
            blocks.invalidBeforeMillis = nowMillis - GAP_RETENTION_MILLIS;
        }
        blocks.lastSequence = event.sequence();
        if (event.stored()) {
            blocks.confirmedAtMillis.put(event.block(), nowMillis);
        } else {
            blocks.confirmedAtMillis.remove(event.block());
        }
    }

    /**
     * Returns the sequence number of the last cache event of a worker.
     *
     * @param worker the worker's name
     * @return the sequence number, or 0 if no event has been received
     */
    public long lastSequence(String worker) {
        WorkerBlocks blocks = workers.get(worker);
        return blocks == null ? 0 : blocks.lastSequence;
    }

    /**
     * Returns the length of the cached prefix of a prompt at a worker, as far as the index shows.
     *
     * @param worker the worker's name
     * @param prefix the leading blocks of the prompt
     * @param nowMillis the monotonic time in milliseconds
     * @return the number of consecutive cached blocks, counted from the first
     */
    public int cachedBlocks(String worker, PromptPrefix prefix, long nowMillis) {
        WorkerBlocks blocks = workers.get(worker);
        int cached = 0;
        while (blocks != null && cached < prefix.blocks() && blocks.isCached(prefix.blockId(cached), nowMillis)) {
            cached++;
        }
        return cached;
    }

    /**
     * Removes all entries of a worker that was removed or has lost its cache.
     *
     * @param worker the worker's name
     */
    public void remove(String worker) {
        workers.remove(worker);
    }
}
