package io.lagoonseam.core.invariant;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counts violations of invariants and reports them as events. Thread-safe if the event sink is. */
public final class InvariantMonitor {

    private final EventSink events;
    private final Map<Invariant, AtomicLong> violations = new EnumMap<>(Invariant.class);

    /**
     * Creates a monitor without violations.
     *
     * @param events the sink to which each violation is reported
     */
    public InvariantMonitor(EventSink events) {
        this.events = events;
        for (Invariant invariant : Invariant.values()) {
            violations.put(invariant, new AtomicLong());
        }
    }

    /**
     * Reports a violation unless the condition holds.
     *
     * @param invariant the invariant
     * @param holds whether the invariant holds in this case
     * @param detail a description of the case, with its values
     */
    public void check(Invariant invariant, boolean holds, String detail) {
        if (holds) {
            return;
        }
        violations.get(invariant).incrementAndGet();
        events.record(EventCode.INVARIANT_VIOLATED, invariant + ": " + detail);
    }

    /**
     * Returns the number of violations of one invariant.
     *
     * @param invariant the invariant
     * @return the number since this monitor was created
     */
    public long violations(Invariant invariant) {
        return violations.get(invariant).get();
    }

    /**
     * Returns the number of violations of all invariants.
     *
     * @return the number since this monitor was created
     */
    public long totalViolations() {
        return violations.values().stream().mapToLong(AtomicLong::get).sum();
    }
}
