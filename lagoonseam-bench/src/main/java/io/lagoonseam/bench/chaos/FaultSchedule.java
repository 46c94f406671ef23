package io.lagoonseam.bench.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws a schedule of faults from a seed. Faults may overlap, and the same fault may come twice. */
public final class FaultSchedule {

    private static final long FIRST_MILLIS = 1_000;
    private static final long MOST_GAP_MILLIS = 1_500;
    private static final long LEAST_DURATION_MILLIS = 300;
    private static final int MOST_DURATION_MILLIS = 2_500;
    private static final int TARGETS = 1_000;

    private FaultSchedule() {}

    /**
     * Draws a schedule.
     *
     * @param seed the seed
     * @param runMillis the length of the run; the last faults end before it
     * @return the faults in the order of their start
     */
    public static List<PlannedFault> draw(long seed, long runMillis) {
        Random random = new Random(seed);
        FaultKind[] kinds = FaultKind.values();
        List<PlannedFault> faults = new ArrayList<>();
        long startMillis = FIRST_MILLIS;
        long lastMillis = runMillis - MOST_DURATION_MILLIS - LEAST_DURATION_MILLIS;
        while (startMillis < lastMillis) {
            long durationMillis = LEAST_DURATION_MILLIS + random.nextInt(MOST_DURATION_MILLIS);
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            faults.add(new PlannedFault(startMillis, durationMillis, kind, random.nextInt(TARGETS)));
            startMillis += random.nextLong(MOST_GAP_MILLIS);
        }
        return faults;
    }
}
