package io.lagoonseam.core.admission;

import io.lagoonseam.core.admission.internal.ClassSchedule;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks at run time that every class is served. A class with waiting requests must be served within its longest wait,
 * unless its service made so few starts in the meantime that the reserved ones could not reach every class: with N
 * classes and one reserved start in K, fewer than N × K. Both follow from the file set. Not thread-safe.
 */
public final class ClassServiceWatch {

    private final Map<String, ClassState> classes = new HashMap<>();
    private final InvariantMonitor invariants;

    /**
     * Creates a watch without classes.
     *
     * @param invariants where violations go
     */
    public ClassServiceWatch(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    private static final class ClassState {
        private int waiting;
        private long sinceMillis;
        private long longestWaitMillis;
        private int startsOfOthers;

        private void restart(long nowMillis) {
            sinceMillis = nowMillis;
            startsOfOthers = 0;
        }
    }

    /**
     * Notes that a request was queued.
     *
     * @param ticket the request
     * @param nowMillis the monotonic time
     */
    public void queued(Ticket ticket, long nowMillis) {
        ClassState state = classes.computeIfAbsent(ticket.requestClass().name(), name -> new ClassState());
        state.longestWaitMillis = ticket.serviceLevel().longestWaitMillis();
        if (state.waiting == 0) {
            state.restart(nowMillis);
        }
        state.waiting++;
    }

    /**
     * Notes that a request left its queue without being started.
     *
     * @param ticket the request
     */
    public void removed(Ticket ticket) {
        classes.get(ticket.requestClass().name()).waiting--;
    }

    /**
     * Notes that a request was started, and checks all other classes.
     *
     * @param ticket the request
     * @param nowMillis the monotonic time
     */
    public void started(Ticket ticket, long nowMillis) {
        ClassState own = classes.get(ticket.requestClass().name());
        own.waiting--;
        own.restart(nowMillis);
        int reachable = classes.size() * ClassSchedule.RESERVED_ONE_IN;
        classes.forEach((name, state) -> {
            if (state.waiting == 0 || state.equals(own)) {
                return;
            }
            state.startsOfOthers++;
            long passedMillis = nowMillis - state.sinceMillis;
            if (passedMillis > state.longestWaitMillis && state.startsOfOthers >= reachable) {
                invariants.check(Invariant.EVERY_CLASS_SERVED, false, name + " not served for " + passedMillis + " ms");
                state.restart(nowMillis);
            }
        });
    }
}
