package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the detection of workers that fail more than the others, and the window of recent outcomes. */
public class FailureComparisonTest {

    @Test
    public void detectsAWorkerThatFailsHalfOfItsRequests() {
        assertTrue(FailureComparison.failsMoreOften(new OutcomeCount(8, 4), new OutcomeCount(20, 1)));
    }

    @Test
    public void requestsThatFailAtEveryWorkerAreNotAttributedToOne() {
        assertFalse(FailureComparison.failsMoreOften(new OutcomeCount(8, 3), new OutcomeCount(30, 6)));
        assertFalse(FailureComparison.failsMoreOften(new OutcomeCount(20, 20), new OutcomeCount(40, 40)));
    }

    @Test
    public void fewFailuresAreNotSignificant() {
        assertFalse(FailureComparison.failsMoreOften(new OutcomeCount(2, 2), new OutcomeCount(40, 0)));
        assertFalse(FailureComparison.failsMoreOften(new OutcomeCount(30, 5), new OutcomeCount(60, 0)));
    }

    @Test
    public void onlyOutcomesWithinTheWindowCount() {
        RecentOutcomes recent = new RecentOutcomes();
        for (long nowMillis = 100_000; nowMillis < 101_000; nowMillis += 100) {
            recent.observe(nowMillis < 100_500, nowMillis);
        }
        assertEquals(recent.count(101_000), new OutcomeCount(10, 5));
        assertEquals(recent.count(103_400), new OutcomeCount(5, 0));
        assertEquals(recent.count(110_000), OutcomeCount.NONE);
    }
}
