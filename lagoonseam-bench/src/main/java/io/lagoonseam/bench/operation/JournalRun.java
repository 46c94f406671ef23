package io.lagoonseam.bench.operation;

import io.lagoonseam.core.operation.JournalOptions;
import java.util.Random;

/** Runs keyed actions through the sharded journals of 8 simulated nodes, in simulated time. */
public final class JournalRun {

    private static final int NODES = 8;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long SETTLE_MILLIS = 90_000;
    private static final long CHECK_MILLIS = 15_000;

    private final Random random;
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedStore store;
    private final SimulatedFleet fleet;

    /**
     * Creates a run.
     *
     * @param seed the seed of all random choices
     */
    public JournalRun(long seed) {
        this.random = new Random(seed);
        this.store = new SimulatedStore(time, random);
        this.fleet = new SimulatedFleet(time, store, random, JournalOptions.standard(), NODES);
    }

    /**
     * Runs without faults of nodes or platform.
     *
     * @param actions the number of keys
     * @param perSecond the rate in actions per second
     * @return the measurements
     */
    public JournalRunResult runWithoutFaults(int actions, double perSecond) {
        ActionDriver driver = new ActionDriver(time, fleet::randomRunningNode, ActionFaults.DUPLICATES_ONLY, random);
        return run(driver, actions, perSecond, "no faults");
    }

    /**
     * Runs while nodes crash or pause and the platform is down, slow or loses answers.
     *
     * @param actions the number of keys
     * @param perSecond the rate in actions per second
     * @return the measurements
     */
    public JournalRunResult runWithFaults(int actions, double perSecond) {
        ActionDriver driver = new ActionDriver(time, fleet::randomRunningNode, ActionFaults.ALL, random);
        FaultSchedule faults = new FaultSchedule(time, store, fleet, random);
        faults.start((long) (actions * MILLIS_PER_SECOND / perSecond));
        JournalRunResult result = run(driver, actions, perSecond, "");
        return result.withFaults(faults.summary());
    }

    private JournalRunResult run(ActionDriver driver, int actions, double perSecond, String faults) {
        long spanMillis = (long) (actions * MILLIS_PER_SECOND / perSecond);
        driver.schedule(actions, perSecond);
        time.runUntil(spanMillis);
        double writesPerSecond = (double) store.writes() * MILLIS_PER_SECOND / spanMillis;
        time.runUntil(spanMillis + SETTLE_MILLIS);
        double writesPerAction = (double) store.writes() / actions;
        int mostWrites = store.mostWritesInOneSecond();
        driver.checkAll();
        time.runUntil(spanMillis + SETTLE_MILLIS + CHECK_MILLIS);
        return new JournalRunResult(
                driver.oracle(),
                driver.addedMillis(),
                writesPerSecond,
                writesPerAction,
                mostWrites,
                store.largestValueBytes(),
                fleet.unrecordedOutcomes(),
                fleet.invariants().totalViolations(),
                faults);
    }
}
