package io.lagoonseam.bench.operation;

import io.lagoonseam.entry.platform.SingleWriteOperationJournal;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The same actions with one platform object for each of them. */
public final class BaselineRun {

    private static final int NODES = 8;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long SETTLE_MILLIS = 30_000;

    private BaselineRun() {}

    /**
     * Runs without faults, before a platform without a limit of calls.
     *
     * @param seed the seed of all choices
     * @param actions the number of keys
     * @param perSecond the rate
     * @return what was seen
     */
    public static JournalRunResult steady(long seed, int actions, double perSecond) {
        Random random = new Random(seed);
        VirtualTime time = new VirtualTime();
        SimulatedStore store = new SimulatedStore(time, random);
        List<SimulatedNode> nodes = new ArrayList<>();
        for (int index = 0; index < NODES; index++) {
            SimulatedNode node = new SimulatedNode("entry-" + index);
            node.journal(new SingleWriteOperationJournal(store.viewOf(node)));
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
