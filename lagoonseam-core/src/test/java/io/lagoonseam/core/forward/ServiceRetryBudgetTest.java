package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Simulates nodes on which every first attempt fails, and checks sliding windows over all of them. */
public class ServiceRetryBudgetTest {

    private static final double RATIO = 0.2;
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RETRY_SLACK = 52;

    @Test
    public void newLimitsApplyAtOnceAndKeepUsedRetries() {
        ServiceRetryBudget budget = new ServiceRetryBudget(0, WINDOW_MILLIS, 10);
        for (int retry = 0; retry < 8; retry++) {
            assertTrue(budget.tryAcquire(1, 0));
        }
        assertFalse(budget.tryAcquire(1, 0));
        budget.setLimits(0, WINDOW_MILLIS, 20);
        for (int retry = 0; retry < 8; retry++) {
            assertTrue(budget.tryAcquire(1, 1));
        }
        assertFalse(budget.tryAcquire(1, 1));
    }

    @Test
    public void allNodesTogetherStayWithinTheBudgetOfEachWindow() {
        int nodes = 6;
        List<ServiceRetryBudget> budgets = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            budgets.add(new ServiceRetryBudget(RATIO, WINDOW_MILLIS, RETRY_SLACK));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 10) {
            // after half of the time the request rate drops to a tenth while retries continue
            int node = (int) (nowMillis / 10 % nodes);
            if (nowMillis < 30_000 || nowMillis % 100 == 0) {
                budgets.get(node).recordRequest(nowMillis);
                requests.add(nowMillis);
            }
            if (budgets.get(node).tryAcquire(nodes, nowMillis)) {
                retries.add(nowMillis);
            }
        }
        for (long endMillis = WINDOW_MILLIS; endMillis < 60_000; endMillis += 100) {
            long end = endMillis;
            // a retry is limited by the requests of the window before it, so the busiest of three overlapping windows
            // counts
            long counted = Math.max(
                    within(requests, end), Math.max(within(requests, end - 5_000), within(requests, end - 10_000)));
            assertTrue(
                    within(retries, end) <= RATIO * counted + RETRY_SLACK,
                    "retries above the budget in the window that ends at " + end);
        }
        assertTrue(retries.size() > 100, "at most 100 retries were allowed");
    }

    private static long within(List<Long> times, long endMillis) {
        return times.stream()
                .filter(time -> time > endMillis - WINDOW_MILLIS && time <= endMillis)
                .count();
    }

    @Test
    public void aSingleNodeMayUseTheWholeSlack() {
        ServiceRetryBudget budget = new ServiceRetryBudget(0, WINDOW_MILLIS, 10);
        int taken = 0;
        while (budget.tryAcquire(1, 0)) {
            taken++;
        }
        assertEquals(taken, 8);
        assertFalse(budget.tryAcquire(1, 9_999));
        assertTrue(budget.tryAcquire(1, 10_001));
    }
}
