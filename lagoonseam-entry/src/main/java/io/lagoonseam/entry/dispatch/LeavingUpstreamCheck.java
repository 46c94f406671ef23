package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Checks at run time that no request is sent to an upstream that has been known to be leaving for longer than a grace
 * period. Thread-safe.
 */
final class LeavingUpstreamCheck {

    private static final long GRACE_PERIOD_MILLIS = 2_000;

    private final TimeSource time;
    private final InvariantMonitor invariants;
    private volatile Map<String, Long> leavingSinceMillis = Map.of();

    LeavingUpstreamCheck(TimeSource time, InvariantMonitor invariants) {
        this.time = time;
        this.invariants = invariants;
    }

    synchronized void updateLeaving(Set<String> names) {
        if (names.equals(leavingSinceMillis.keySet())) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        Map<String, Long> changed = new HashMap<>();
        names.forEach(name -> changed.put(name, leavingSinceMillis.getOrDefault(name, nowMillis)));
        leavingSinceMillis = Map.copyOf(changed);
    }

    void checkSend(String upstreamName) {
        Long sinceMillis = leavingSinceMillis.get(upstreamName);
        if (sinceMillis != null) {
            long ageMillis = time.monotonicMillis() - sinceMillis;
            invariants.check(
                    Invariant.LEAVING_GETS_NO_WORK,
                    ageMillis <= GRACE_PERIOD_MILLIS,
                    upstreamName + " received a request " + ageMillis + " ms after it was first seen leaving");
        }
    }
}
