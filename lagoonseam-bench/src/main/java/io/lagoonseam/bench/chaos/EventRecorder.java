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

/** Counts events by code and keeps the log lines around the first violated invariant. Thread-safe. */
final class EventRecorder implements EventSink {

    private static final int MAX_LINES_BEFORE = 40;
    private static final int MAX_LINES_AFTER = 20;

    private final long startNanos = System.nanoTime();
    private final Deque<String> recentLines = new ArrayDeque<>();
    private final List<String> linesAroundViolation = new ArrayList<>();
    private final Map<EventCode, Long> counts = new EnumMap<>(EventCode.class);
    private int remainingLines;

    @Override
    public synchronized void record(EventCode code, String detail) {
        counts.merge(code, 1L, Long::sum);
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        String line = elapsedMillis + " ms " + code.number() + " " + code + ": " + detail;
        if (code == EventCode.INVARIANT_VIOLATED && linesAroundViolation.isEmpty()) {
            linesAroundViolation.addAll(recentLines);
            remainingLines = MAX_LINES_AFTER + 1;
        }
        if (remainingLines > 0) {
            remainingLines--;
            linesAroundViolation.add(line);
        }
        recentLines.addLast(line);
        if (recentLines.size() > MAX_LINES_BEFORE) {
            recentLines.removeFirst();
        }
    }

    synchronized List<String> aroundFirstViolation() {
        return List.copyOf(linesAroundViolation);
    }

    synchronized Map<EventCode, Long> counts() {
        return new EnumMap<>(counts);
    }
}
