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
 * Writes one JSON object a line. Lines wait in bounded queues for a thread of their own, so that a slow output delays
 * no request; what does not fit the budget is counted by event. Failures and changes of belief have a queue and a
 * budget of their own, so that routine lines cannot push them out.
 */
public final class JsonLineLog implements DecisionLog, AutoCloseable {

    /** Routine lines a second: three lines for each request of a node's share of the largest known load. */
    private static final double ROUTINE_LINES = 400;

    /** Other lines a second: the failures of a second in which every request fails. */
    private static final double OTHER_LINES = 600;

    /** Bytes a second for each of both: 250 for each line. */
    private static final double ROUTINE_BYTES = 100_000;

    private static final double OTHER_BYTES = 150_000;

    /** The lines that wait to be written: what comes in some seconds. */
    private static final int QUEUE_LINES = 2_000;

    /** The pause between two looks at the queues, in milliseconds, so that few wake-ups write many lines. */
    private static final long PAUSE_MILLIS = 100;

    /** The tag of the lines, by which tinylog's settings find their writer. */
    private static final String TAG = "decisions";

    private static final Set<EventCode> ROUTINE = EnumSet.of(
            EventCode.REQUEST_TAKEN,
            EventCode.REQUEST_ANSWERED,
            EventCode.REQUEST_SENT,
            EventCode.REQUEST_WAITS,
            EventCode.CALLER_GONE,
            EventCode.REPEAT_TAKEN);

    private final String node;
    private final TimeSource time;
    private final Consumer<String> output;
    private final BlockingQueue<String> routine = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final BlockingQueue<String> other = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final LineBudget routineBudget;
    private final LineBudget otherBudget;
    private final Map<EventCode, Long> dropped = new EnumMap<>(EventCode.class);
    private final Thread writer;
    private volatile boolean open = true;

    /**
     * Creates a log that writes through tinylog.
     *
     * @param node the node that the lines belong to
     * @param time the clocks
     */
    public JsonLineLog(String node, TimeSource time) {
        this(node, time, Logger.tag(TAG)::info);
    }

    /**
     * Creates a log.
     *
     * @param node the node that the lines belong to
     * @param time the clocks
     * @param output writes a line
     */
    public JsonLineLog(String node, TimeSource time, Consumer<String> output) {
        this.node = node;
        this.time = time;
        this.output = output;
        this.routineBudget = new LineBudget(ROUTINE_LINES, ROUTINE_BYTES, time.monotonicNanos());
        this.otherBudget = new LineBudget(OTHER_LINES, OTHER_BYTES, time.monotonicNanos());
        this.writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void record(EventCode code, String detail) {
        decided(code, "", "detail", detail);
    }

    @Override
    public synchronized void decided(EventCode code, String requestId, Object... fields) {
        boolean isRoutine = ROUTINE.contains(code);
        LineBudget budget = isRoutine ? routineBudget : otherBudget;
        if (!budget.tryTake(time.monotonicNanos())) {
            dropped.merge(code, 1L, Long::sum);
            return;
        }
        String line = line(code, requestId, fields);
        budget.wrote(line.length());
        if (!(isRoutine ? routine : other).offer(line)) {
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

    private void write() {
        while (open) {
            try {
                Thread.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                // the log was closed; what is queued is written first
                break;
            }
            drain();
        }
        drain();
    }

    private void drain() {
        tellDropped();
        drain(other);
        drain(routine);
    }

    private void drain(BlockingQueue<String> queue) {
        for (String line = queue.poll(); line != null; line = queue.poll()) {
            output.accept(line);
        }
    }

    private void tellDropped() {
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

    /** Writes what is queued and ends. */
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
