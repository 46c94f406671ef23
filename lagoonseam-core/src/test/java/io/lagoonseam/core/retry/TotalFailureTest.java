package io.lagoonseam.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.time.ManualTimeSource;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the retry budget, retry-after delays and hedging. Guards against retry amplification when all upstreams of a
 * service fail at once after a healthy period.
 */
public final class TotalFailureTest {

    private static final int OUTAGE_MILLIS = 30_000;
    private static final int HEALTHY_MILLIS = 60_000;

    @DataProvider
    public Object[][] seedsAndRates() {
        return new Object[][] {{1L, 5.0}, {2L, 20.0}, {3L, 100.0}, {4L, 400.0}};
    }

    @Test(dataProvider = "seedsAndRates")
    public void amplificationStaysBelowTarget(long seed, double requestsPerSecond) {
        ManualTimeSource time = new ManualTimeSource();
        RetryBudget budget = new RetryBudget(0.15, time);
        Random random = new Random(seed);
        long requests = 0;
        long attempts = 0;
        for (int millis = 0; millis < HEALTHY_MILLIS + OUTAGE_MILLIS; millis++) {
            time.advanceMillis(1);
            if (random.nextDouble() >= requestsPerSecond / 1_000) {
                continue;
            }
            budget.recordFirstAttempt();
            if (millis < HEALTHY_MILLIS) {
                budget.recordSuccess();
                continue;
            }
            requests++;
            attempts++;
            for (int retry = 0; retry < 3 && budget.tryAcquire(); retry++) {
                attempts++;
            }
        }
        double amplification = (double) attempts / requests;
        assertTrue(amplification < 1.2, "amplification " + amplification);
        assertTrue(attempts > requests, "no retry was allowed");
    }

    @Test
    public void hedgesLeaveBudgetToFailedRequests() {
        RetryBudget budget = new RetryBudget(0.15, new ManualTimeSource());
        for (int request = 0; request < 100; request++) {
            budget.recordFirstAttempt();
            budget.recordSuccess();
        }
        int hedges = 0;
        while (budget.tryAcquireHedge()) {
            hedges++;
        }
        int retries = 0;
        while (budget.tryAcquire()) {
            retries++;
        }
        assertEquals(hedges, 8);
        assertEquals(retries, 12);
    }

    @Test
    public void retryAfterGrowsWithOutageDuration() {
        ManualTimeSource time = new ManualTimeSource();
        RetryAfterEstimate estimate = new RetryAfterEstimate(time);
        for (int answer = 0; answer < 200; answer++) {
            time.advanceMillis(50);
            estimate.answered();
        }
        long healthyMillis = estimate.retryAfterMillis(10);
        assertTrue(
                healthyMillis >= 400 && healthyMillis <= 900,
                "retry-after delay in ms while healthy: " + healthyMillis);
        time.advanceMillis(10_000);
        long outageMillis = estimate.retryAfterMillis(10);
        assertTrue(outageMillis >= 5_000, "retry-after delay in ms after 10 s of outage: " + outageMillis);
        time.advanceMillis(600_000);
        assertEquals(estimate.retryAfterMillis(10), 30_000);
    }

    @Test
    public void onlyUrgentIdempotentRequestsAreHedged() {
        HedgeDelay delay = new HedgeDelay();
        assertTrue(delay.delayMillis(requestClass(Tier.URGENT, true), 820).isEmpty());
        for (int request = 0; request < 1_000; request++) {
            delay.observe(request % 100 == 0 ? 300 : 40);
        }
        assertTrue(delay.delayMillis(requestClass(Tier.URGENT, false), 820).isEmpty());
        assertTrue(delay.delayMillis(requestClass(Tier.HIGH, true), 820).isEmpty());
        long hedgeMillis =
                delay.delayMillis(requestClass(Tier.URGENT, true), 820).orElseThrow();
        assertTrue(hedgeMillis >= 80 && hedgeMillis <= 410, "hedge delay in ms: " + hedgeMillis);
    }

    private static RequestClass requestClass(Tier tier, boolean idempotent) {
        return new RequestClass("class", "service", "level", tier, idempotent, Optional.empty(), Optional.empty());
    }
}
