package io.lagoonseam.core.invariant;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counts and reports violations. */
public final class InvariantMonitor {

    private final EventSink events;
    private final Map<Invariant, AtomicLong> violations = new EnumMap<>(Invariant.class);

    /**
     * Creates a monitor without violations.
     *
     * @param events where each violation is reported
     */
    public InvariantMonitor(EventSink events) {
        this.events = events;
        for (Invariant invariant : Invariant.values()) {
            violations.put(invariant, new AtomicLong());
        }
    }

    /**
     * Reports a violation unless a condition holds.
     *
     * @param invariant the statement
     * @param holds whether it holds in this case
     * @param detail the case, in words and values
     */
    public void check(Invariant invariant, boolean holds, String detail) {
        if (holds) {
            return;
        }
        violations.get(invariant).incrementAndGet();
        events.record(EventCode.INVARIANT_VIOLATED, invariant + ": " + detail);
    }

    /**
     * Returns the number of violations of one statement.
     *
     * @param invariant the statement
     * @return violations since the start
     */
    public long violations(Invariant invariant) {
        return violations.get(invariant).get();
    }

    /**
     * Returns the number of violations of all statements.
     *
     * @return violations since the start
     */
    public long totalViolations() {
        return violations.values().stream().mapToLong(AtomicLong::get).sum();
    }
}
