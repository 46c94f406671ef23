package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Checks for how long an engine may read prompts beside an answer. */
public class AnswerPaceTest {

    private static final int ANSWERS = 600;

    private static AnswerPace observed(double stated) {
        AnswerPace pace = new AnswerPace();
        Random random = new Random(1);
        for (int index = 0; index < ANSWERS; index++) {
            double readingMillis = 3_000 * random.nextDouble();
            double otherMillis = 600 * random.nextDouble();
            pace.observe((int) (stated * (readingMillis / 50 + otherMillis / 5)), readingMillis, otherMillis);
        }
        return pace;
    }

    @Test
    public void anAnswerThatEndsWhileTheEngineReadsHasNoLimit() {
        assertTrue(Double.isInfinite(observed(1).paces().spareMillis(50, 3_000)));
    }

    @Test
    public void aLongAnswerLeavesTheTimeThatItDoesNotNeed() {
        // r / 50 + (3,000 - r) / 5 = 200 tokens
        assertEquals(observed(1).paces().spareMillis(200, 3_000), 2_222, 120);
    }

    @Test
    public void anAnswerThatCannotEndHasLessThanNothingToSpare() {
        assertTrue(observed(1).paces().spareMillis(200, 800) < 0);
    }

    /** Callers that state twice or half of what they get make no difference in the mean. */
    @Test
    public void countsThatAreOffByAFactorForAllAreLearnt() {
        double expected = observed(1).paces().spareMillis(200, 3_000);
        assertEquals(observed(2).paces().spareMillis(400, 3_000), expected, 150);
        assertEquals(observed(0.5).paces().spareMillis(100, 3_000), expected, 150);
    }

    @Test
    public void nothingObservedGivesAPlausibleTime() {
        double spareMillis = new AnswerPace().paces().spareMillis(200, 3_000);
        assertTrue(spareMillis > 500 && spareMillis < 2_500, "spare " + spareMillis);
    }

    /** One caller who states a million tokens for each answer would have every prompt let in beside the others. */
    @Test
    public void aCallerThatStatesFarTooMuchMovesLittle() {
        AnswerPace pace = observed(1);
        double expected = pace.paces().spareMillis(200, 3_000);
        for (int index = 0; index < 10; index++) {
            pace.observe(1_000_000, 1_500, 300);
        }
        assertEquals(pace.paces().spareMillis(200, 3_000), expected, 250);
    }
}
