package io.lagoonseam.entry.log;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventLevel;
import io.lagoonseam.core.time.TimeSource;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Writes events as lines of one JSON object each. Lines wait in bounded queues for a dedicated writer thread, so that a
 * slow output delays no request; lines that exceed the rate limit or the queue are dropped and counted by event.
 * Failures and changes of the node's view of the system have a queue and a rate limit of their own, so that routine
 * lines cannot displace them. Thread-safe.
 */
public final class JsonLineLog implements DecisionLog, AutoCloseable {

    /** Rate limit of routine lines: three lines per request at one node's share of the largest known load. */
    private static final double ROUTINE_LINES_PER_SECOND = 400;

    /** Rate limit of lines about failures and changes: the failures of a second in which every request fails. */
    private static final double FAILURE_LINES_PER_SECOND = 600;

    /** Limits of bytes, for routine lines and for lines about failures and changes: 250 bytes for each line. */
    private static final double ROUTINE_BYTES_PER_SECOND = 100_000;

    private static final double FAILURE_BYTES_PER_SECOND = 150_000;

    /** Capacity of each queue: the lines of several seconds at the rate limit. */
    private static final int QUEUE_CAPACITY_LINES = 2_000;

    /** Interval at which the queues are written, so that few wake-ups of the thread write many lines. */
    private static final long WRITE_INTERVAL_MILLIS = 100;

    /** The tinylog tag of the lines; the tinylog configuration assigns its writer by this tag. */
    private static final String LOGGER_TAG = "decisions";

    private static final Set<EventCode> ROUTINE_EVENTS = EnumSet.of(
            EventCode.REQUEST_TAKEN,
            EventCode.REQUEST_ANSWERED,
            EventCode.REQUEST_SENT,
            EventCode.REQUEST_WAITS,
            EventCode.CALLER_GONE,
            EventCode.REPEAT_TAKEN);

    private final String node;
    private final TimeSource time;
    private final Consumer<String> output;
    private final BlockingQueue<String> routineLines = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final BlockingQueue<String> failureLines = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
    private final LineBudget routineBudget;
    private final LineBudget failureBudget;
    private final Map<EventCode, Long> dropped = new EnumMap<>(EventCode.class);
    private final Thread writer;
    private volatile boolean open = true;

    /**
     * Creates a log that writes through tinylog.
     *
     * @param node the id of the node, written on every line
     * @param time the wall clock and the monotonic clock
     */
    public JsonLineLog(String node, TimeSource time) {
        this(node, time, Logger.tag(LOGGER_TAG)::info);
    }

    /**
     * Creates a log that writes to the given output.
     *
     * @param node the id of the node, written on every line
     * @param time the wall clock and the monotonic clock
     * @param output writes one line; called on the writer thread only
     */
    public JsonLineLog(String node, TimeSource time, Consumer<String> output) {
        this.node = node;
        this.time = time;
        this.output = output;
        this.routineBudget = new LineBudget(ROUTINE_LINES_PER_SECOND, ROUTINE_BYTES_PER_SECOND, time.monotonicNanos());
        this.failureBudget = new LineBudget(FAILURE_LINES_PER_SECOND, FAILURE_BYTES_PER_SECOND, time.monotonicNanos());
        this.writer = new Thread(this::runWriter, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void record(EventCode code, String detail) {
        recordDecision(code, "", "detail", detail);
    }

    @Override
    public synchronized void recordDecision(EventCode code, String requestId, Object... fields) {
        boolean isRoutine = ROUTINE_EVENTS.contains(code);
        LineBudget budget = isRoutine ? routineBudget : failureBudget;
        if (!budget.tryAcquire(time.monotonicNanos())) {
            dropped.merge(code, 1L, Long::sum);
            return;
        }
        String line = line(code, requestId, fields);
        budget.recordBytes(line.length());
        if (!(isRoutine ? routineLines : failureLines).offer(line)) {
            dropped.merge(code, 1L, Long::sum);
        }
    }

    private String line(EventCode code, String requestId, Object... fields) {
        StringBuilder line = new StringBuilder(200);
        line.append("{\"time\":").append(time.wallMillis());
        line.append(",\"node\":");
        quote(line, node);
        line.append(",\"event\":").append(code.number()).append(",\"name\":\"").append(code.name());
        line.append('"');
        if (code.level() != EventLevel.INFO) {
            line.append(",\"level\":\"").append(code.level().name()).append('"');
        }
        if (!requestId.isEmpty()) {
            line.append(",\"request\":");
            quote(line, requestId);
        }
        for (int index = 0; index + 1 < fields.length; index += 2) {
            line.append(",\"").append(fields[index]).append("\":");
            Object value = fields[index + 1];
            if (value instanceof Number || value instanceof Boolean) {
                line.append(value);
            } else {
                quote(line, String.valueOf(value));
            }
        }
        return line.append('}').toString();
    }

    private static void quote(StringBuilder line, String text) {
        line.append('"');
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '"' || character == '\\') {
                line.append('\\').append(character);
            } else if (character < ' ') {
                line.append(String.format("\\u%04x", (int) character));
            } else {
                line.append(character);
            }
        }
        line.append('"');
    }

    private void runWriter() {
        while (open) {
            try {
                Thread.sleep(WRITE_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                // the log was closed; the queued lines are written before the thread ends
                break;
            }
            drain();
        }
        drain();
    }

    private void drain() {
        writeDroppedCounts();
        drain(failureLines);
        drain(routineLines);
    }

    private void drain(BlockingQueue<String> queue) {
        for (String line = queue.poll(); line != null; line = queue.poll()) {
            output.accept(line);
        }
    }

    /** Writes the number of dropped lines by event since the last such line, if there are any. */
    private void writeDroppedCounts() {
        String line;
        synchronized (this) {
            if (dropped.isEmpty()) {
                return;
            }
            line = line(EventCode.LOG_DROPPED, "", "counts", dropped.toString());
            dropped.clear();
        }
        output.accept(line);
    }

    /** Writes the queued lines and ends the writer thread; waits for at most 1 s. */
    @Override
    public void close() {
        open = false;
        writer.interrupt();
        try {
            writer.join(TimeUnit.SECONDS.toMillis(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
