package io.lagoonseam.core.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class StreamRecoveryTest {

    public static final class Gaps {

        @Test
        public void limitFollowsMeanGap() {
            TokenGapLimit limit = new TokenGapLimit();
            assertEquals(limit.limitMillis(2_000), 2_000);
            limit.observe(50);
            assertEquals(limit.limitMillis(2_000), 600);
            assertEquals(limit.limitMillis(400), 400);
        }

        @Test
        public void limitToleratesShortPauses() {
            TokenGapLimit limit = new TokenGapLimit();
            limit.observe(1);
            assertEquals(limit.limitMillis(2_000), 250);
        }
    }

    public static final class Progress {

        @Test
        public void completeAnswerHasEachTokenOnce() {
            AnswerProgress progress = new AnswerProgress();
            assertTrue(progress.accept(0));
            assertTrue(progress.accept(1));
            assertTrue(progress.isComplete(2));
            assertFalse(progress.isComplete(3));
        }

        @Test
        public void answerWithGapIsNeverComplete() {
            AnswerProgress progress = new AnswerProgress();
            assertFalse(progress.accept(1));
            assertTrue(progress.accept(0));
            assertFalse(progress.isComplete(1));
        }
    }

    public static final class Recoveries {

        @Test
        public void recoveriesWithoutProgressAreLimited() {
            RecoveryLimit limit = new RecoveryLimit();
            assertTrue(limit.tryRecover(0));
            assertTrue(limit.tryRecover(0));
            assertTrue(limit.tryRecover(0));
            assertFalse(limit.tryRecover(0));
        }

        @Test
        public void progressPermitsRecoveriesUpToTotal() {
            RecoveryLimit limit = new RecoveryLimit();
            int recoveries = 0;
            while (recoveries < 1_000 && limit.tryRecover(recoveries)) {
                recoveries++;
            }
            assertEquals(recoveries, 10);
        }
    }
}
