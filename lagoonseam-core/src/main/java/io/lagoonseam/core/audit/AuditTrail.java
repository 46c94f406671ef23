package io.lagoonseam.core.audit;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps the latest events about the state of a node (start and stop, configuration, roles, membership and peers,
 * invariants) and forwards every event to another sink. Thread-safe.
 */
public final class AuditTrail implements EventSink {

    private static final int MAX_ENTRIES = 2_000;
    private static final int NUMBERS_PER_CATEGORY = 100;

    /** The recorded event categories: the hundreds digit of the event numbers; 8 is no longer used. */
    private static final List<Integer> RECORDED_CATEGORIES = List.of(1, 6, 7, 8, 9);

    private final EventSink next;
    private final TimeSource time;
    private final AtomicLong sequence = new AtomicLong();
    private final RankedLock lock = new RankedLock(LockRank.TRAIL);
    private final Deque<AuditEntry> entries = new ArrayDeque<>();

    /**
     * Creates an empty trail.
     *
     * @param next receives every event
     * @param time the source of wall-clock time
     */
    public AuditTrail(EventSink next, TimeSource time) {
        this.next = next;
        this.time = time;
    }

    @Override
    public void record(EventCode code, String detail) {
        if (RECORDED_CATEGORIES.contains(code.number() / NUMBERS_PER_CATEGORY)) {
            add(new AuditEntry(sequence.incrementAndGet(), time.wallMillis(), code, detail));
        }
        next.record(code, detail);
    }

    private void add(AuditEntry entry) {
        lock.run(() -> {
            entries.addLast(entry);
            if (entries.size() > MAX_ENTRIES) {
                entries.removeFirst();
            }
        });
    }

    /**
     * Returns the most recent entries.
     *
     * @param limit the maximum number of entries
     * @return the entries, most recent first
     */
    public List<AuditEntry> latest(int limit) {
        List<AuditEntry> latest = new ArrayList<>();
        lock.run(() -> entries.descendingIterator().forEachRemaining(entry -> {
            if (latest.size() < limit) {
                latest.add(entry);
            }
        }));
        return latest;
    }
}
