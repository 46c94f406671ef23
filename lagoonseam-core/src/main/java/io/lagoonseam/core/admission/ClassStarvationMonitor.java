package io.lagoonseam.core.admission;

import io.lagoonseam.core.admission.internal.ClassScheduler;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects starvation of request classes at run time. A class with waiting requests must be served within its longest
 * wait. A violation is reported only once at least N × K requests of other classes have been started since the class
 * was last served or began to wait, where N is the number of classes with requests so far and K is
 * {@link ClassScheduler#RESERVED_START_INTERVAL}; with fewer starts, the reserved starts may not have reached every
 * class. Both bounds follow from the file set. Not thread-safe.
 */
public final class ClassStarvationMonitor {

    private final Map<String, ClassState> classes = new HashMap<>();
    private final InvariantMonitor invariants;

    /**
     * Creates a monitor without classes.
     *
     * @param invariants the monitor to which violations are reported
     */
    public ClassStarvationMonitor(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    private static final class ClassState {
        private int waiting;
        private long unservedSinceMillis;
        private long longestWaitMillis;
        private int startsOfOtherClasses;

        private void restartWait(long nowMillis) {
            unservedSinceMillis = nowMillis;
            startsOfOtherClasses = 0;
        }
    }

    /**
     * Records that a request was queued.
     *
     * @param ticket the request
     * @param nowMillis the current monotonic time in ms
     */
    public void queued(Ticket ticket, long nowMillis) {
        ClassState state = classes.computeIfAbsent(ticket.requestClass().name(), name -> new ClassState());
        state.longestWaitMillis = ticket.serviceLevel().longestWaitMillis();
        if (state.waiting == 0) {
            state.restartWait(nowMillis);
        }
        state.waiting++;
    }

    /**
     * Records that a request left its queue without being started.
     *
     * @param ticket the request
     */
    public void removed(Ticket ticket) {
        classes.get(ticket.requestClass().name()).waiting--;
    }

    /**
     * Records that a request was started, and checks all other classes for starvation.
     *
     * @param ticket the request
     * @param nowMillis the current monotonic time in ms
     */
    public void started(Ticket ticket, long nowMillis) {
        ClassState startedClass = classes.get(ticket.requestClass().name());
        startedClass.waiting--;
        startedClass.restartWait(nowMillis);
        int startsToReachAllClasses = classes.size() * ClassScheduler.RESERVED_START_INTERVAL;
        classes.forEach((name, state) -> {
            if (state.waiting == 0 || state.equals(startedClass)) {
                return;
            }
            state.startsOfOtherClasses++;
            long unservedMillis = nowMillis - state.unservedSinceMillis;
            if (unservedMillis > state.longestWaitMillis && state.startsOfOtherClasses >= startsToReachAllClasses) {
                invariants.check(
                        Invariant.EVERY_CLASS_SERVED, false, name + " not served for " + unservedMillis + " ms");
                state.restartWait(nowMillis);
            }
        });
    }
}
