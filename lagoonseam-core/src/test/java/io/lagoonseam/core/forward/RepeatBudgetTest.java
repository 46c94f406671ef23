package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Plays a failure of every first send on several nodes and checks each sliding window over all of them. */
public class RepeatBudgetTest {

    private static final double RATIO = 0.2;
    private static final long WINDOW_MILLIS = 10_000;
    private static final double SLACK = 52;

    @Test
    public void otherLimitsHoldAtOnceAndWhatWasSpentStaysSpent() {
        RepeatBudget budget = new RepeatBudget(0, WINDOW_MILLIS, 10);
        for (int repeat = 0; repeat < 8; repeat++) {
            assertTrue(budget.tryTake(1, 0));
        }
        assertFalse(budget.tryTake(1, 0));
        budget.limits(0, WINDOW_MILLIS, 20);
        for (int repeat = 0; repeat < 8; repeat++) {
            assertTrue(budget.tryTake(1, 1));
        }
        assertFalse(budget.tryTake(1, 1));
    }

    @Test
    public void allNodesTogetherStayWithinEachWindow() {
        int nodes = 6;
        List<RepeatBudget> budgets = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            budgets.add(new RepeatBudget(RATIO, WINDOW_MILLIS, SLACK));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 10) {
            // the load falls to a tenth in the middle, while repeats go on
            int node = (int) (nowMillis / 10 % nodes);
            if (nowMillis < 30_000 || nowMillis % 100 == 0) {
                budgets.get(node).request(nowMillis);
                requests.add(nowMillis);
            }
            if (budgets.get(node).tryTake(nodes, nowMillis)) {
                repeats.add(nowMillis);
            }
        }
        for (long endMillis = WINDOW_MILLIS; endMillis < 60_000; endMillis += 100) {
            long end = endMillis;
            long counted = Math.max(
                    within(requests, end), Math.max(within(requests, end - 5_000), within(requests, end - 10_000)));
            assertTrue(within(repeats, end) <= RATIO * counted + SLACK, "window that ends at " + end);
        }
        assertTrue(repeats.size() > 100, "the budget is of use");
    }

    private static long within(List<Long> times, long endMillis) {
        return times.stream()
                .filter(time -> time > endMillis - WINDOW_MILLIS && time <= endMillis)
                .count();
    }

    @Test
    public void aNodeAloneHasTheWholeSlack() {
        RepeatBudget budget = new RepeatBudget(0, WINDOW_MILLIS, 10);
        int taken = 0;
        while (budget.tryTake(1, 0)) {
            taken++;
        }
        assertEquals(taken, 8);
        assertFalse(budget.tryTake(1, 9_999));
        assertTrue(budget.tryTake(1, 10_001));
    }
}
