package io.lagoonseam.bench.operation;

import java.util.random.RandomGenerator;

/** Brings faults of the platform and of nodes at random until a time. */
public final class FaultSchedule {

    private static final long STEP_MILLIS = 1_500;
    private static final long PAUSE_MILLIS = 6_000;
    private static final long OUTAGE_MILLIS = 3_000;
    private static final long SLOW_MILLIS = 400;
    private static final long FAST_MILLIS = 5;
    private static final double LOSE_SHARE = 0.3;
    private static final int KINDS = 7;

    private final VirtualTime time;
    private final SimulatedStore store;
    private final SimulatedFleet fleet;
    private final RandomGenerator random;
    private int crashes;
    private int pauses;
    private int outages;

    /**
     * Creates a schedule.
     *
     * @param time the virtual clock
     * @param store the platform
     * @param fleet the nodes
     * @param random the source of all choices
     */
    public FaultSchedule(VirtualTime time, SimulatedStore store, SimulatedFleet fleet, RandomGenerator random) {
        this.time = time;
        this.store = store;
        this.fleet = fleet;
        this.random = random;
    }

    /**
     * Starts the faults.
     *
     * @param endMillis when everything is well again
     */
    public void run(long endMillis) {
        time.schedule(random.nextLong(STEP_MILLIS), () -> step(endMillis));
    }

    private void step(long endMillis) {
        if (time.monotonicMillis() >= endMillis) {
            store.faults(FAST_MILLIS, false, 0);
            fleet.loseReplies(0);
            return;
        }
        switch (random.nextInt(KINDS)) {
            case 0 -> outage();
            case 1 -> store.faults(SLOW_MILLIS, false, 0);
            case 2 -> store.faults(FAST_MILLIS, false, LOSE_SHARE);
            case 3 -> crash();
            case 4 -> pause();
            case 5 -> fleet.loseReplies(LOSE_SHARE);
            default -> store.faults(FAST_MILLIS, false, 0);
        }
        run(endMillis);
    }

    private void outage() {
        outages++;
        store.faults(FAST_MILLIS, true, 0);
        time.schedule(OUTAGE_MILLIS, () -> store.faults(FAST_MILLIS, false, 0));
    }

    private void crash() {
        crashes++;
        fleet.crashOne();
    }

    private void pause() {
        pauses++;
        fleet.pauseOne(random.nextLong(PAUSE_MILLIS));
    }

    /**
     * Returns the faults so far.
     *
     * @return the numbers in words
     */
    public String summary() {
        return crashes + " crashes, " + pauses + " pauses, " + outages + " outages";
    }
}
