package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests when refused callers are told to retry. */
public class RetryAfterTest {

    @Test
    public void aDelayIsWithinWhatCallersWaitFor() {
        for (double draw = 0; draw < 1; draw += 0.1) {
            long millis = RetryAfter.delayMillis(900, 0, 0, draw);
            assertTrue(millis > 0 && millis <= 300, "delay " + millis);
        }
    }

    /** A retry before the end of the pause would be refused again. */
    @Test
    public void aDelayIsNotShorterThanThePauseOfAllWorkers() {
        for (double draw = 0; draw < 1; draw += 0.1) {
            assertTrue(RetryAfter.delayMillis(900, 0, 2_000, draw) >= 2_000);
        }
        assertEquals(RetryAfter.delayMillis(900, 0, 2_000, 0), 2_000);
        assertTrue(RetryAfter.delayMillis(900, 0, 2_000, 0.9) > 2_000, "retries after a pause are spread");
    }

    /** Callers that come back while the work before them is not done are refused again. */
    @Test
    public void aDelayFollowsTheBacklogAsFarAsCallersWait() {
        assertEquals(RetryAfter.delayMillis(6_000, 1_200, 0, 0.5), 1_200);
        assertEquals(RetryAfter.delayMillis(6_000, 9_000, 0, 0.5), 1_800);
    }
}
