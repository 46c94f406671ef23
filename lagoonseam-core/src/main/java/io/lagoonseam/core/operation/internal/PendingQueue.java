package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.operation.OperationKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of the records to be written: outcomes and withdrawals first, then intents by tier. Guarded by the lock of the
 * {@link OperationTable}.
 */
final class PendingQueue {

    /** Estimated size of a record without its texts. */
    private static final int RECORD_OVERHEAD_BYTES = 64;

    /** Outcomes and withdrawals, which resolve an intent. */
    private final Deque<PendingRecord> resolutions = new ArrayDeque<>();

    private final Map<Tier, Deque<PendingRecord>> intents = new EnumMap<>(Tier.class);

    PendingQueue() {
        for (Tier tier : Tier.values()) {
            intents.put(tier, new ArrayDeque<>());
        }
    }

    void addResolution(PendingRecord item) {
        resolutions.add(item);
    }

    void addIntent(Tier tier, PendingRecord item) {
        intents.get(tier).add(item);
    }

    void removeIntent(OperationEntry entry) {
        intents.get(entry.tier).removeIf(item -> item.content().key().equals(entry.key));
    }

    /** Requeues an outcome or a withdrawal at the front of the queue. */
    void requeueFirst(PendingRecord item) {
        resolutions.addFirst(item);
    }

    boolean isEmpty() {
        return resolutions.isEmpty() && intents.values().stream().allMatch(Deque::isEmpty);
    }

    /** Removes records until their total size reaches a limit; the last record may exceed it. */
    List<PendingRecord> take(int limitBytes) {
        List<PendingRecord> batch = new ArrayList<>();
        int remainingBytes = moveTo(resolutions, batch, limitBytes);
        for (Deque<PendingRecord> queue : intents.values()) {
            remainingBytes = moveTo(queue, batch, remainingBytes);
        }
        return batch;
    }

    private static int moveTo(Deque<PendingRecord> queue, List<PendingRecord> batch, int remainingBytes) {
        int bytesLeft = remainingBytes;
        while (bytesLeft > 0 && !queue.isEmpty()) {
            PendingRecord next = queue.poll();
            batch.add(next);
            bytesLeft -= sizeBytes(next.content());
        }
        return bytesLeft;
    }

    private static int sizeBytes(JournalRecord content) {
        OperationKey key = content.key();
        int answerBytes = content instanceof JournalRecord.Completed outcome
                ? outcome.answer().body().length()
                : 0;
        return RECORD_OVERHEAD_BYTES
                + key.key().length()
                + key.workspace().length()
                + key.requestDigest().length()
                + answerBytes;
    }

    /** Clears the queue and returns the outcomes and withdrawals that were not written; intents are dropped. */
    List<PendingRecord> clear() {
        List<PendingRecord> unwritten = List.copyOf(resolutions);
        resolutions.clear();
        intents.values().forEach(Deque::clear);
        return unwritten;
    }
}
