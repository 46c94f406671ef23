package io.lagoonseam.bench.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates a random schedule of faults from a seed. Faults may overlap, and the same fault may be planned twice. */
public final class FaultPlanGenerator {

    private static final long FIRST_START_MILLIS = 1_000;
    private static final long START_GAP_BOUND_MILLIS = 1_500;
    private static final long MIN_DURATION_MILLIS = 300;
    private static final int DURATION_SPREAD_MILLIS = 2_500;
    private static final int TARGET_BOUND = 1_000;

    private FaultPlanGenerator() {}

    /**
     * Generates a schedule; the same arguments give the same schedule.
     *
     * @param seed the seed of all random choices
     * @param runMillis the duration of the run in milliseconds; every fault ends before the end of the run
     * @return the faults in the order of their start
     */
    public static List<PlannedFault> generate(long seed, long runMillis) {
        Random random = new Random(seed);
        FaultKind[] kinds = FaultKind.values();
        List<PlannedFault> faults = new ArrayList<>();
        long startMillis = FIRST_START_MILLIS;
        long lastStartMillis = runMillis - DURATION_SPREAD_MILLIS - MIN_DURATION_MILLIS;
        while (startMillis < lastStartMillis) {
            long durationMillis = MIN_DURATION_MILLIS + random.nextInt(DURATION_SPREAD_MILLIS);
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            faults.add(new PlannedFault(startMillis, durationMillis, kind, random.nextInt(TARGET_BOUND)));
            startMillis += random.nextLong(START_GAP_BOUND_MILLIS);
        }
        return faults;
    }
}
