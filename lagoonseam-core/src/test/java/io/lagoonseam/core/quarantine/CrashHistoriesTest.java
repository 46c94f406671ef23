package io.lagoonseam.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

/** Tests which suspects come into quarantine, and how they leave it. */
public class CrashHistoriesTest {

    private static final long CALLER = 7;
    private static final long OTHER_CALLER = 8;
    private static final Suspect PART = Suspect.promptPart("p");
    private static final Suspect COMPANION = Suspect.promptPart("c");
    private static final int ENOUGH = Suspect.Kind.PROMPT_PART.crashesToQuarantine();

    private final CrashHistories histories = new CrashHistories(100);

    private static CrashHistory crash(long worker, long atMillis) {
        return CrashHistory.EMPTY.withCrash(new Crash(worker, atMillis, 0), CALLER);
    }

    private static CrashHistory crashes(int count, long firstMillis, long gapMillis) {
        CrashHistory history = CrashHistory.EMPTY;
        for (int index = 0; index < count; index++) {
            history = history.merge(crash(index, firstMillis + index * gapMillis));
        }
        return history;
    }

    private static CrashHistory.Answer answer(long beganMillis) {
        return new CrashHistory.Answer(1 + beganMillis, beganMillis);
    }

    /** Tests of one history. */
    public static class OneSuspect {

        private static boolean sufficient(CrashHistory history) {
            return history.sufficient(Suspect.Kind.PROMPT_PART);
        }

        @Test
        public void enoughCrashesSufficeAndFewerDoNot() {
            assertTrue(sufficient(crashes(ENOUGH, 1_000, 300)));
            assertFalse(sufficient(crashes(ENOUGH - 1, 1_000, 300)));
        }

        @Test
        public void reportsOfOneCrashCountOnce() {
            CrashHistory history = CrashHistory.EMPTY;
            for (int node = 0; node < 20; node++) {
                history = history.merge(crash(1, 5_000 + node * 10));
            }
            assertEquals(history.crashes().size(), 1);
        }

        @Test
        public void aWorkerThatCrashesAgainUnderItsRecordCountsAgain() {
            assertEquals(crash(1, 5_000).merge(crash(1, 9_000)).crashes().size(), 2);
        }

        @Test
        public void aWholeAnswerThatBeganAfterACrashSpeaksAgainstIt() {
            CrashHistory history = crashes(ENOUGH, 1_000, 1_000);
            assertFalse(sufficient(history.withAnswer(answer(1_500))));
            assertTrue(sufficient(history.withAnswer(answer(500))));
        }

        @Test
        public void workersThatCrashTogetherCountOnce() {
            assertFalse(sufficient(crashes(3 * ENOUGH, 1_000, 20)));
        }

        @Test
        public void workersThatCrashOneAfterTheOtherUnderRepeatsCountEach() {
            CrashHistory history = CrashHistory.EMPTY;
            for (int index = 0; index < ENOUGH; index++) {
                long atMillis = 1_000 + 20 * index;
                history = history.withCrash(new Crash(index, atMillis, atMillis - 10), CALLER);
            }
            assertTrue(sufficient(history));
        }

        @Test
        public void crashesUnderASuspectThatWasSoundBeforeHaveToBeFartherApart() {
            assertFalse(sufficient(crashes(ENOUGH, 1_000, 500).withAnswer(answer(500))));
            assertTrue(sufficient(crashes(ENOUGH, 1_000, 1_000).withAnswer(answer(500))));
        }

        @Test
        public void nodesThatMergeInAnyOrderKnowTheSame() {
            CrashHistory one = crashes(3, 1_000, 500).withAnswer(answer(1_200));
            CrashHistory other = crash(9, 4_000).withTrial(3, 4_500);
            CrashHistory merged = one.merge(other);
            assertEquals(other.merge(one), merged);
            assertEquals(merged.merge(one).merge(other), merged);
            assertEquals(merged.fingerprint(), other.merge(one).fingerprint());
        }
    }

    /** Tests of the requests that are let through. */
    public static class Trials {

        private static final long LAST_CRASH_MILLIS = 1_000 + (ENOUGH - 1) * 300;

        private final CrashHistory history = crashes(ENOUGH, 1_000, 300);

        @Test
        public void aCallerWithoutPartInTheCrashesIsLetThroughOnce() {
            assertTrue(history.mayTry(OTHER_CALLER, false, 2_000));
            assertFalse(history.mayTry(CALLER, false, 2_000));
            assertFalse(history.withTrial(1, 2_000).mayTry(OTHER_CALLER, false, 2_001));
            assertFalse(history.withTrial(1, 2_000).mayTry(OTHER_CALLER, false, 30_000));
        }

        @Test
        public void anAmbiguousCauseIsTriedWhenAllNodesKnowTheCrashes() {
            assertFalse(history.mayTry(CALLER, true, LAST_CRASH_MILLIS + 2_999));
            assertTrue(history.mayTry(CALLER, true, LAST_CRASH_MILLIS + 3_000));
        }

        @Test
        public void theTimeBetweenRequestsThatAreLetThroughGrows() {
            assertFalse(history.mayTry(CALLER, false, LAST_CRASH_MILLIS + 59_999));
            assertTrue(history.mayTry(CALLER, false, LAST_CRASH_MILLIS + 60_000));
            CrashHistory tried = history.withTrial(1, 100_000);
            assertFalse(tried.mayTry(CALLER, false, 100_000 + 239_999));
            assertTrue(tried.mayTry(CALLER, false, 100_000 + 240_000));
        }
    }

    @Test
    public void aSuspectIsNotHeldIfAnotherOneWasThereAtAllItsCrashesAndMore() {
        histories.merge(PART, crashes(ENOUGH + 1, 1_000, 500));
        histories.merge(COMPANION, crashes(ENOUGH, 1_000, 500));
        assertTrue(histories.quarantined(PART));
        assertFalse(histories.quarantined(COMPANION));
        histories.merge(COMPANION, crash(99, 20_000));
        assertTrue(histories.quarantined(COMPANION));
    }

    @Test
    public void suspectsWithTheSameCrashesAreBothHeldAndAmbiguous() {
        CrashHistories both = new CrashHistories(10);
        both.merge(PART, crashes(ENOUGH, 1_000, 500));
        assertFalse(both.ambiguous(PART));
        both.merge(COMPANION, crashes(ENOUGH, 1_000, 500));
        assertTrue(both.quarantined(PART));
        assertTrue(both.quarantined(COMPANION));
        assertTrue(both.ambiguous(PART));
    }

    @Test
    public void aRequestIsHeldRatherThanThePartOfItThatWasThereAtTheSameCrashes() {
        CrashHistories known = new CrashHistories(10);
        Suspect request = Suspect.request(1);
        known.merge(request, crashes(ENOUGH, 1_000, 500));
        known.merge(PART, crashes(ENOUGH, 1_000, 500));
        assertTrue(known.quarantined(request));
        assertFalse(known.quarantined(PART));
        known.merge(PART, crash(99, 20_000));
        assertTrue(known.quarantined(PART));
    }

    @Test
    public void fewerCrashesSufficeForARequestThanForAPart() {
        CrashHistory three = crashes(3, 1_000, 500);
        assertTrue(three.sufficient(Suspect.Kind.REQUEST));
        assertFalse(three.sufficient(Suspect.Kind.PROMPT_PART));
    }

    @Test
    public void answersToManyRequestsDoNotDisplaceThoseToParts() {
        WholeAnswers answers = new WholeAnswers();
        answers.record(Set.of(PART), 1);
        for (int index = 0; index < 20_000; index++) {
            answers.record(Set.of(Suspect.request(index)), index);
        }
        assertTrue(answers.lastBeganMillis(PART).isPresent());
        assertTrue(answers.lastBeganMillis(Suspect.request(0)).isEmpty());
    }

    @Test
    public void manySuspectsOfOneCrashAreNotCompared() {
        CrashHistories many = new CrashHistories(1_000);
        for (int index = 0; index < 1_000; index++) {
            many.merge(Suspect.promptPart("m" + index), crashes(ENOUGH + index % 2, 1_000, 500));
        }
        assertTrue(many.quarantined(Suspect.promptPart("m0")));
        assertTrue(many.ambiguous(Suspect.promptPart("m1")));
    }

    @Test
    public void theNumberOfSuspectsIsBoundedAndOldOnesAreForgotten() {
        CrashHistories few = new CrashHistories(10);
        for (int index = 0; index < 50; index++) {
            few.merge(Suspect.promptPart("s" + index), crash(index, 1_000 + index));
        }
        assertEquals(few.size(), 10);
        few.expire(1_000_000);
        assertEquals(few.size(), 10);
        few.expire(3_000_000);
        assertEquals(few.size(), 0);
    }

    @Test
    public void wholeAnswersAreBoundedAndTheNewestCounts() {
        WholeAnswers answers = new WholeAnswers();
        for (int index = 0; index < 20_000; index++) {
            answers.record(Set.of(Suspect.promptPart("s" + index)), index);
        }
        assertTrue(answers.lastBeganMillis(Suspect.promptPart("s0")).isEmpty());
        Suspect last = Suspect.promptPart("s19999");
        answers.record(Set.of(last), 5);
        assertEquals(answers.lastBeganMillis(last).orElse(-1), 19_999);
    }
}
