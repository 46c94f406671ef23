package io.lagoonseam.bench.operation;

import io.lagoonseam.entry.platform.SingleWriteOperationJournal;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Runs the actions of {@link JournalRun} with a journal that writes one platform object for each action, as a baseline.
 */
public final class BaselineRun {

    private static final int NODES = 8;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long SETTLE_MILLIS = 30_000;

    private BaselineRun() {}

    /**
     * Runs without faults against a platform that does not limit the rate of calls.
     *
     * @param seed the seed of all random choices
     * @param actions the number of keys
     * @param perSecond the rate in actions per second
     * @return the measurements
     */
    public static JournalRunResult runWithoutFaults(long seed, int actions, double perSecond) {
        Random random = new Random(seed);
        SimulatedTime time = new SimulatedTime();
        SimulatedStore store = new SimulatedStore(time, random);
        List<SimulatedNode> nodes = new ArrayList<>();
        for (int index = 0; index < NODES; index++) {
            SimulatedNode node = new SimulatedNode("entry-" + index);
            node.setJournal(new SingleWriteOperationJournal(store.viewOf(node)));
            nodes.add(node);
        }
        ActionDriver driver =
                new ActionDriver(time, () -> nodes.get(random.nextInt(NODES)), ActionFaults.DUPLICATES_ONLY, random);
        long spanMillis = (long) (actions * MILLIS_PER_SECOND / perSecond);
        driver.schedule(actions, perSecond);
        time.runUntil(spanMillis);
        double writesPerSecond = (double) store.writes() * MILLIS_PER_SECOND / spanMillis;
        time.runUntil(spanMillis + SETTLE_MILLIS);
        return new JournalRunResult(
                driver.oracle(),
                driver.addedMillis(),
                writesPerSecond,
                (double) store.writes() / actions,
                store.mostWritesInOneSecond(),
                store.largestValueBytes(),
                0,
                0,
                "no faults");
    }
}
