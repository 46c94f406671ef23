package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.forward.Lane;
import org.testng.annotations.Test;

/** Tests the share of workers for sensitive requests while the load changes. */
public class LaneShareTest {

    private static long play(LaneShare share, long fromMillis, long millis, int tolerantPerSensitive) {
        for (long now = fromMillis; now < fromMillis + millis; now += 10) {
            share.observe(Lane.SENSITIVE, 2_000, now);
            for (int count = 0; count < tolerantPerSensitive; count++) {
                share.observe(Lane.TOLERANT, 4_000, now);
            }
        }
        return fromMillis + millis;
    }

    @Test
    public void aQuarterIsReservedUntilTheLoadIsKnown() {
        LaneShare share = new LaneShare();
        assertEquals(share.sensitiveShare(), 0.25);
    }

    @Test
    public void nothingIsReservedIfNoRequestIsSensitive() {
        LaneShare share = new LaneShare();
        for (long now = 0; now < 1_000; now += 10) {
            share.observe(Lane.TOLERANT, 4_000, now);
        }
        assertEquals(share.sensitiveShare(), 0.0);
    }

    @Test
    public void aBurstOfLongPromptsTakesWorkersAndGivesThemBack() {
        LaneShare share = new LaneShare();
        long now = play(share, 0, 4_000, 1);
        double calm = share.sensitiveShare();
        now = play(share, now, 2_000, 10);
        double burst = share.sensitiveShare();
        assertTrue(burst < 0.75 * calm, "share " + calm + " before, " + burst + " in the burst");
        play(share, now, 6_000, 1);
        assertEquals(share.sensitiveShare(), calm, 0.03);
    }

    @Test
    public void refusedSensitiveRequestsRaiseTheShareForAWhile() {
        LaneShare share = new LaneShare();
        long now = play(share, 0, 4_000, 10);
        double before = share.sensitiveShare();
        for (int count = 0; count < 5; count++) {
            share.observeRefusal(Lane.SENSITIVE, now);
        }
        assertTrue(share.sensitiveShare() > before + 0.05);
        play(share, now, 6_000, 10);
        assertEquals(share.sensitiveShare(), before, 0.02);
    }
}
