package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Checks where work is sent that no upstream gets any when its first sign of leaving is older than the limit. */
final class NewWorkCheck {

    private static final long LIMIT_MILLIS = 2_000;

    private final TimeSource time;
    private final InvariantMonitor invariants;
    private volatile Map<String, Long> sinceMillisByName = Map.of();

    NewWorkCheck(TimeSource time, InvariantMonitor invariants) {
        this.time = time;
        this.invariants = invariants;
    }

    synchronized void leaving(Set<String> names) {
        if (names.equals(sinceMillisByName.keySet())) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        Map<String, Long> changed = new HashMap<>();
        names.forEach(name -> changed.put(name, sinceMillisByName.getOrDefault(name, nowMillis)));
        sinceMillisByName = Map.copyOf(changed);
    }

    void sending(String upstreamName) {
        Long sinceMillis = sinceMillisByName.get(upstreamName);
        if (sinceMillis != null) {
            long ageMillis = time.monotonicMillis() - sinceMillis;
            invariants.check(
                    Invariant.LEAVING_GETS_NO_WORK,
                    ageMillis <= LIMIT_MILLIS,
                    upstreamName + " got work " + ageMillis + " ms after its first sign");
        }
    }
}
