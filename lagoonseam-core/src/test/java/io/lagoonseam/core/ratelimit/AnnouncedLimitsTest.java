package io.lagoonseam.core.ratelimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which statement of a worker about its limit is in force. */
public class AnnouncedLimitsTest {

    private static final WorkerIncarnation WORKER = new WorkerIncarnation("app", "w1", 1);

    private final AnnouncedLimits limits = new AnnouncedLimits();

    /** Statements in the answers to this node's own requests. */
    public static class OwnAnswers {

        private final AnnouncedLimits limits = new AnnouncedLimits();

        @Test
        public void theLatestLimitIsInForceUntilALaterRequestIsAnsweredWithoutOne() {
            assertTrue(limits.recordNamed(WORKER, 2, 1_000));
            assertTrue(limits.recordNamed(WORKER, 0.5, 2_000));
            assertEquals(limits.perSecond(WORKER), OptionalDouble.of(0.5));
            assertTrue(limits.recordNone(WORKER, 2_001));
            assertTrue(limits.perSecond(WORKER).isEmpty());
        }

        @Test
        public void anAnswerToAnEarlierRequestEndsNoLimit() {
            limits.recordNamed(WORKER, 2, 1_000);
            assertFalse(limits.recordNone(WORKER, 999));
            assertEquals(limits.perSecond(WORKER), OptionalDouble.of(2));
        }

        @Test
        public void anotherIncarnationHasNoLimit() {
            limits.recordNamed(WORKER, 2, 1_000);
            WorkerIncarnation next = new WorkerIncarnation("app", "w1", 2);
            assertTrue(limits.perSecond(next).isEmpty());
            limits.retain(Set.of(next), 2_000);
            assertEquals(limits.reports(2_000).size(), 1);
            limits.retain(Set.of(next), 700_000);
            assertTrue(limits.reports(700_000).isEmpty());
        }
    }

    @Test
    public void aPeerDoesNotEndALimitThatMayBeNewerThanItsReport() {
        AnnouncedLimits own = new AnnouncedLimits();
        own.recordNamed(WORKER, 2, 10_000);
        LimitReport ended = new LimitReport(WORKER, OptionalDouble.empty(), 0);
        assertFalse(own.apply(ended, 10_500));
        assertTrue(own.apply(ended, 11_100));
        assertTrue(own.perSecond(WORKER).isEmpty());
    }

    @Test
    public void aLowerLimitOfAPeerAppliesAtOnce() {
        AnnouncedLimits own = new AnnouncedLimits();
        own.recordNamed(WORKER, 2, 10_000);
        assertTrue(own.apply(new LimitReport(WORKER, OptionalDouble.of(0.5), 10), 10_020));
        assertFalse(own.apply(new LimitReport(WORKER, OptionalDouble.of(2), 10), 10_040));
        assertEquals(own.perSecond(WORKER), OptionalDouble.of(0.5));
    }

    /** Two nodes that tell each other the same old limit must not take it for a new one. */
    @Test
    public void aLimitThatIsSentToAndFroDoesNotGrowYounger() {
        AnnouncedLimits other = new AnnouncedLimits();
        limits.recordNamed(WORKER, 2, 0);
        for (long nowMillis = 0; nowMillis < 10_000; nowMillis += 100) {
            other.apply(limits.report(WORKER, nowMillis).orElseThrow(), nowMillis + 50);
            limits.apply(other.report(WORKER, nowMillis + 50).orElseThrow(), nowMillis + 100);
        }
        assertEquals(limits.report(WORKER, 10_000).orElseThrow().ageMillis(), 10_000);
    }
}
