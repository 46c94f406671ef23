package io.lagoonseam.bench.chaos;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counts events and keeps those around the first violation. */
final class EventRecorder implements EventSink {

    private static final int KEPT_BEFORE = 40;
    private static final int KEPT_AFTER = 20;

    private final long startNanos = System.nanoTime();
    private final Deque<String> recent = new ArrayDeque<>();
    private final List<String> aroundViolation = new ArrayList<>();
    private final Map<EventCode, Long> counts = new EnumMap<>(EventCode.class);
    private int stillToKeep;

    @Override
    public synchronized void record(EventCode code, String detail) {
        counts.merge(code, 1L, Long::sum);
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        String line = elapsedMillis + " ms " + code.number() + " " + code + ": " + detail;
        if (code == EventCode.INVARIANT_VIOLATED && aroundViolation.isEmpty()) {
            aroundViolation.addAll(recent);
            stillToKeep = KEPT_AFTER + 1;
        }
        if (stillToKeep > 0) {
            stillToKeep--;
            aroundViolation.add(line);
        }
        recent.addLast(line);
        if (recent.size() > KEPT_BEFORE) {
            recent.removeFirst();
        }
    }

    synchronized List<String> aroundFirstViolation() {
        return List.copyOf(aroundViolation);
    }

    synchronized Map<EventCode, Long> counts() {
        return new EnumMap<>(counts);
    }
}
