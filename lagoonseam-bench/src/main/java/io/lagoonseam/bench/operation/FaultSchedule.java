package io.lagoonseam.bench.operation;

import java.util.random.RandomGenerator;

/** Injects faults of the platform and of nodes at random intervals of less than 1,500 ms, until a given time. */
public final class FaultSchedule {

    private static final long MAX_INTERVAL_MILLIS = 1_500;
    private static final long MAX_PAUSE_MILLIS = 6_000;
    private static final long OUTAGE_MILLIS = 3_000;
    private static final long SLOW_RESPONSE_MILLIS = 400;
    private static final long NORMAL_RESPONSE_MILLIS = 5;
    private static final double LOSS_SHARE = 0.3;
    private static final int FAULT_KINDS = 7;

    private final SimulatedTime time;
    private final SimulatedStore store;
    private final SimulatedFleet fleet;
    private final RandomGenerator random;
    private int crashes;
    private int pauses;
    private int outages;

    /**
     * Creates a schedule.
     *
     * @param time the simulated clock
     * @param store the simulated platform
     * @param fleet the simulated nodes
     * @param random the source of all random choices
     */
    public FaultSchedule(SimulatedTime time, SimulatedStore store, SimulatedFleet fleet, RandomGenerator random) {
        this.time = time;
        this.store = store;
        this.fleet = fleet;
        this.random = random;
    }

    /**
     * Starts the injection of faults.
     *
     * @param endMillis the simulated time in milliseconds at which the injection ends and faults of the platform and of
     *     replies are cleared
     */
    public void start(long endMillis) {
        time.schedule(random.nextLong(MAX_INTERVAL_MILLIS), () -> injectFault(endMillis));
    }

    private void injectFault(long endMillis) {
        if (time.monotonicMillis() >= endMillis) {
            store.setFaults(NORMAL_RESPONSE_MILLIS, false, 0);
            fleet.setReplyLossShare(0);
            return;
        }
        switch (random.nextInt(FAULT_KINDS)) {
            case 0 -> startOutage();
            case 1 -> store.setFaults(SLOW_RESPONSE_MILLIS, false, 0);
            case 2 -> store.setFaults(NORMAL_RESPONSE_MILLIS, false, LOSS_SHARE);
            case 3 -> crashNode();
            case 4 -> pauseNode();
            case 5 -> fleet.setReplyLossShare(LOSS_SHARE);
            default -> store.setFaults(NORMAL_RESPONSE_MILLIS, false, 0);
        }
        start(endMillis);
    }

    private void startOutage() {
        outages++;
        store.setFaults(NORMAL_RESPONSE_MILLIS, true, 0);
        time.schedule(OUTAGE_MILLIS, () -> store.setFaults(NORMAL_RESPONSE_MILLIS, false, 0));
    }

    private void crashNode() {
        crashes++;
        fleet.crashRandomNode();
    }

    private void pauseNode() {
        pauses++;
        fleet.pauseRandomNode(random.nextLong(MAX_PAUSE_MILLIS));
    }

    /**
     * Returns the numbers of crashes, pauses and outages so far.
     *
     * @return a text for people
     */
    public String summary() {
        return crashes + " crashes, " + pauses + " pauses, " + outages + " outages";
    }
}
