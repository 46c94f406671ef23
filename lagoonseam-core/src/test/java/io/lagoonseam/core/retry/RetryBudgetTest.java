package io.lagoonseam.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

public final class RetryBudgetTest {

    @Test
    public void amplificationStaysBelowTarget() {
        RetryBudget budget = new RetryBudget(0.1);
        int attempts = 0;
        int requests = 1_000;
        for (int request = 0; request < requests; request++) {
            budget.recordFirstAttempt();
            attempts++;
            while (budget.tryAcquire()) {
                attempts++;
            }
        }
        assertTrue((double) attempts / requests < 1.2, "attempts " + attempts);
    }

    @Test
    public void rejectsShareOutOfRange() {
        assertThrows(IllegalArgumentException.class, () -> new RetryBudget(1.5));
    }

    @Test
    public void backoffStaysWithinItsCap() {
        JitteredBackoff backoff = new JitteredBackoff(100, 3_000, new Random(7));
        for (int attempt = 0; attempt < 100; attempt++) {
            long delayMillis = backoff.delayMillis(attempt);
            assertTrue(delayMillis >= 0 && delayMillis <= 3_000, "delay " + delayMillis);
        }
        assertEquals(new JitteredBackoff(0, 0, new Random(7)).delayMillis(3), 0);
    }
}
