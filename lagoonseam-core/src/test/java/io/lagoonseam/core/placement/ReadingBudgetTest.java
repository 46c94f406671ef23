package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Checks which prompts an engine is given while streams run there. */
public class ReadingBudgetTest {

    @Test
    public void aPromptThatMakesAStreamMissItsEndIsHeldBack() {
        ReadingBudget budget = new ReadingBudget();
        budget.add(2, 500, 0);
        assertTrue(budget.allows(2, 200, 300, 0));
        assertFalse(budget.allows(2, 200, 301, 0));
    }

    @Test
    public void aPromptIsNotHeldBackForLessUrgentStreams() {
        ReadingBudget budget = new ReadingBudget();
        budget.add(2, 100, 0);
        assertTrue(budget.allows(1, 0, 5_000, 0));
        budget.add(0, 100, 0);
        assertFalse(budget.allows(1, 0, 5_000, 0));
    }

    @Test
    public void aStreamThatHasEndedHoldsNothingBack() {
        ReadingBudget budget = new ReadingBudget();
        double first = budget.add(1, 100, 0);
        budget.add(1, 100, 0);
        budget.remove(1, first);
        assertFalse(budget.allows(1, 0, 200, 0));
        budget.remove(1, first);
        assertTrue(budget.allows(1, 0, 200, 0));
    }

    @Test
    public void aStreamThatIsLateInAnyCaseHoldsNothingBack() {
        ReadingBudget budget = new ReadingBudget();
        budget.add(1, 100, 0);
        budget.begin(50_000, 0);
        assertFalse(budget.allows(1, 0, 200, 50));
        assertTrue(budget.allows(1, 0, 200, 101));
    }

    @Test
    public void timeWithoutPromptsIsNoReading() {
        ReadingBudget budget = new ReadingBudget();
        budget.begin(10_000, 1_000);
        budget.read(10_000, 1_250);
        assertEquals(budget.doneMillis(9_000), 250.0);
    }

    @Test
    public void thePaceFollowsWhatTheEngineReads() {
        ReadingBudget budget = new ReadingBudget();
        assertEquals(budget.readingMillis(1_000, 77), 77.0);
        for (int second = 0; second < 10; second++) {
            budget.begin(20_000, second * 1_000L);
            budget.read(20_000, second * 1_000L + 500);
        }
        assertEquals(budget.readingMillis(20_000, 77), 500, 60);
    }
}
