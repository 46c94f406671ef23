package io.lagoonseam.bench.operation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.operation.JournalOptions;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class JournalFuzzTest {

    private static final int ACTIONS = 2_000;
    private static final double RATE_PER_SECOND = 100;
    private static final long FAULTS_END_MILLIS = 25_000;
    private static final long SETTLED_MILLIS = 120_000;
    private static final long CHECKED_MILLIS = 130_000;

    @DataProvider
    public static Object[][] seeds() {
        Object[][] seeds = new Object[12][1];
        for (int index = 0; index < seeds.length; index++) {
            seeds[index][0] = 1_000L + index;
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void neverRunsTwiceAndReportsCorrectResultsUnderFaults(long seed) {
        Random random = new Random(seed);
        SimulatedTime time = new SimulatedTime();
        SimulatedStore store = new SimulatedStore(time, random);
        JournalOptions options = new JournalOptions(4, 100, 8_000, 64_000, () -> 3_600_000L, () -> 1_000);
        SimulatedFleet fleet = new SimulatedFleet(time, store, random, options, 5);
        ActionDriver driver = new ActionDriver(time, fleet::randomRunningNode, ActionFaults.ALL, random);
        FaultSchedule faults = new FaultSchedule(time, store, fleet, random);
        driver.schedule(ACTIONS, RATE_PER_SECOND);
        faults.start(FAULTS_END_MILLIS);
        time.runUntil(SETTLED_MILLIS);
        driver.checkAll();
        time.runUntil(CHECKED_MILLIS);
        ActionOracle oracle = driver.oracle();
        String detail = faults.summary() + ", ran " + oracle.keysRun();
        assertEquals(oracle.actionsRunTwice(), 0, detail);
        assertEquals(oracle.keysSentTwice(), 0, detail);
        assertEquals(oracle.falseNotRun(), 0, detail);
        assertEquals(oracle.falseRan(), 0, detail);
        assertEquals(oracle.answersLost(), 0, detail);
        assertEquals(oracle.wrongAnswers(), 0, detail);
        assertEquals(fleet.invariants().totalViolations(), 0, detail);
        assertEquals(fleet.unrecordedOutcomes(), 0, detail);
        assertTrue(oracle.keysRun() > ACTIONS / 4, detail);
        assertTrue(oracle.durableAnswers() > ACTIONS / 4, detail);
    }
}
