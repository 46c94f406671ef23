package io.lagoonseam.entry.duty;

import io.lagoonseam.core.duty.WindowCounts;
import io.lagoonseam.core.time.StallDetector;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.UsageMessages.Answer;
import io.lagoonseam.wire.UsageMessages.Ask;
import io.lagoonseam.wire.UsageMessages.Window;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Counts the requests of each workspace that workers began to run for one node, in windows of the time that the holder
 * of the duty tells. Without a holder, the node goes by its own clock. Not thread-safe.
 */
final class UsageCounter implements UsageMeter {

    /** How long the time that a holder has told holds, in milliseconds. */
    private static final long TOLD_TIME_VALID_MILLIS = 10_000;

    /** How long requests wait after a stall for a holder to tell the time, in milliseconds. */
    private static final long MAX_UNKNOWN_MILLIS = 3_000;

    /** A pause of this process after which the time that was told no longer holds, in milliseconds. */
    private static final long MAX_STALL_MILLIS = 900;

    private final TimeSource time;
    private final String incarnation;
    private final WindowCounts counts;
    private final StallDetector stallDetector;
    private final List<Begun> unplaced = new ArrayList<>();
    private Optional<Long> toldOffsetMillis = Optional.empty();
    private long toldAtMillis;
    private long stalledMillis = Long.MIN_VALUE / 2;

    /** A request that a worker began to run, on the monotonic clock. */
    private record Begun(String workspace, long atMillis) {}

    /**
     * Creates a counter that has counted nothing.
     *
     * @param time the clocks
     * @param incarnation identifies this process among all
     * @param windowMillis the length of a window, in milliseconds
     */
    UsageCounter(TimeSource time, String incarnation, long windowMillis) {
        this.time = time;
        this.incarnation = incarnation;
        this.counts = new WindowCounts(windowMillis);
        this.stallDetector = new StallDetector(time, MAX_STALL_MILLIS);
    }

    @Override
    public void began(String workspace, long agoMillis) {
        if (workspace.isEmpty()) {
            return;
        }
        if (timeKnown()) {
            counts.add(workspace, trueMillis() - agoMillis);
        } else {
            unplaced.add(new Begun(workspace, nowMillis() - agoMillis));
        }
    }

    /** Answers the holder, and keeps the time that it tells. */
    Answer answer(Ask ask) {
        tick();
        if (ask.trueMillis() != Ask.UNKNOWN_TIME) {
            toldOffsetMillis = Optional.of(ask.trueMillis() - nowMillis());
            toldAtMillis = nowMillis();
            place();
        }
        List<Window> windows = new ArrayList<>();
        counts.from(ask.firstWindow()).forEach((number, byWorkspace) -> windows.add(new Window(number, byWorkspace)));
        return new Answer(incarnation, time.wallMillis(), counts.window(trueMillis()), windows);
    }

    /** Notices stalls, and places what was begun while the time was unknown; called several times a second. */
    void tick() {
        if (stallDetector.check()) {
            stalledMillis = nowMillis();
            toldOffsetMillis = Optional.empty();
        }
        place();
    }

    private void place() {
        if (!unplaced.isEmpty() && timeKnown()) {
            unplaced.forEach(begun -> counts.add(begun.workspace, trueMillis() - nowMillis() + begun.atMillis));
            unplaced.clear();
        }
    }

    /** Returns whether a holder has told the time since a stall, or has not for long. */
    private boolean timeKnown() {
        return toldOffsetMillis.isPresent() || nowMillis() - stalledMillis >= MAX_UNKNOWN_MILLIS;
    }

    private long nowMillis() {
        return time.monotonicMillis();
    }

    /** Returns the true time that a holder has told, in milliseconds since 1970; empty if it holds no longer. */
    Optional<Long> toldMillis() {
        return toldOffsetMillis
                .filter(offset -> nowMillis() - toldAtMillis <= TOLD_TIME_VALID_MILLIS)
                .map(offset -> nowMillis() + offset);
    }

    private long trueMillis() {
        return toldMillis().orElseGet(time::wallMillis);
    }
}
