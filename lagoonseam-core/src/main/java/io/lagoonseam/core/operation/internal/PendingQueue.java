package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.operation.OperationKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What is to be written: outcomes and withdrawals first, then intents by tier. Guarded by the lock of its table. */
final class PendingQueue {

    private static final int RECORD_OVERHEAD_BYTES = 64;

    private final Deque<PendingRecord> outcomes = new ArrayDeque<>();
    private final Map<Tier, Deque<PendingRecord>> intents = new EnumMap<>(Tier.class);

    PendingQueue() {
        for (Tier tier : Tier.values()) {
            intents.put(tier, new ArrayDeque<>());
        }
    }

    void addOutcome(PendingRecord item) {
        outcomes.add(item);
    }

    void addIntent(Tier tier, PendingRecord item) {
        intents.get(tier).add(item);
    }

    void removeIntent(OperationEntry entry) {
        intents.get(entry.tier).removeIf(item -> item.content().key().equals(entry.key));
    }

    /** Puts an outcome or a withdrawal back to the front. */
    void putBack(PendingRecord item) {
        outcomes.addFirst(item);
    }

    boolean isEmpty() {
        return outcomes.isEmpty() && intents.values().stream().allMatch(Deque::isEmpty);
    }

    /** Takes records until a size is reached. */
    List<PendingRecord> take(int limitBytes) {
        List<PendingRecord> batch = new ArrayList<>();
        int room = drain(outcomes, batch, limitBytes);
        for (Deque<PendingRecord> queue : intents.values()) {
            room = drain(queue, batch, room);
        }
        return batch;
    }

    private static int drain(Deque<PendingRecord> queue, List<PendingRecord> batch, int room) {
        int left = room;
        while (left > 0 && !queue.isEmpty()) {
            PendingRecord next = queue.poll();
            batch.add(next);
            left -= sizeBytes(next.content());
        }
        return left;
    }

    private static int sizeBytes(JournalRecord content) {
        OperationKey key = content.key();
        int answerBytes = content instanceof JournalRecord.Outcome outcome
                ? outcome.answer().body().length()
                : 0;
        return RECORD_OVERHEAD_BYTES
                + key.key().length()
                + key.workspace().length()
                + key.requestDigest().length()
                + answerBytes;
    }

    /** Forgets the intents and returns the outcomes and withdrawals that are not written. */
    List<PendingRecord> clear() {
        List<PendingRecord> unwritten = List.copyOf(outcomes);
        outcomes.clear();
        intents.values().forEach(Deque::clear);
        return unwritten;
    }
}
