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
 * Keeps the latest events that change what holds at a node (its start and stop, configuration, roles, membership,
 * invariants) and hands every event on.
 */
public final class AuditTrail implements EventSink {

    private static final int CAPACITY = 2_000;
    private static final int HUNDRED = 100;
    private static final List<Integer> SUBJECTS = List.of(1, 6, 7, 8, 9);

    private final EventSink next;
    private final TimeSource time;
    private final AtomicLong sequence = new AtomicLong();
    private final RankedLock lock = new RankedLock(LockRank.TRAIL);
    private final Deque<AuditEntry> entries = new ArrayDeque<>();

    /**
     * Creates an empty trail.
     *
     * @param next hears every event
     * @param time the clocks
     */
    public AuditTrail(EventSink next, TimeSource time) {
        this.next = next;
        this.time = time;
    }

    @Override
    public void record(EventCode code, String detail) {
        if (SUBJECTS.contains(code.number() / HUNDRED)) {
            add(new AuditEntry(sequence.incrementAndGet(), time.wallMillis(), code, detail));
        }
        next.record(code, detail);
    }

    private void add(AuditEntry entry) {
        lock.run(() -> {
            entries.addLast(entry);
            if (entries.size() > CAPACITY) {
                entries.removeFirst();
            }
        });
    }

    /**
     * Returns the latest entries.
     *
     * @param limit the most entries
     * @return entries, latest first
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
