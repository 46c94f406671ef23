package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Checks what follows each outcome, for each kind of work. */
public class AttemptPolicyTest {

    private static final AttemptResult FULL = new AttemptResult.NotRun("full", true);
    private static final AttemptResult UNREACHED = new AttemptResult.NotRun("no connection", false);
    private static final AttemptResult BROKEN = new AttemptResult.Broken("reset");

    private static AttemptPolicy.History history(WorkKind kind, int arrivals, boolean mayHaveRun) {
        int runs = mayHaveRun ? arrivals : 0;
        return new AttemptPolicy.History(kind, 2, runs, arrivals - runs, arrivals == 0 ? 1 : 0, 500);
    }

    private static NextStep next(AttemptResult result, AttemptPolicy.History history) {
        return AttemptPolicy.next(result, history, () -> true);
    }

    /** Work that may run at most once. */
    public static class AtMostOnce {

        @Test
        public void isSentAgainOnlyWithAProof() {
            for (WorkKind kind : new WorkKind[] {WorkKind.NON_IDEMPOTENT, WorkKind.STREAM}) {
                assertEquals(next(FULL, history(kind, 1, false)), NextStep.SEND_AGAIN);
                assertEquals(next(UNREACHED, history(kind, 0, false)), NextStep.SEND_AGAIN);
                assertEquals(next(BROKEN, history(kind, 1, true)), NextStep.FAIL);
                assertEquals(next(new AttemptResult.Silent(), history(kind, 1, true)), NextStep.FAIL);
            }
        }

        @Test
        public void aFailureOfTheWorkerIsPassedOn() {
            assertEquals(
                    next(new AttemptResult.Answered(500), history(WorkKind.NON_IDEMPOTENT, 1, true)),
                    NextStep.PASS_ANSWER);
        }

        @Test
        public void aRefusalNeedsAProofOfEachAttempt() {
            AttemptPolicy.Allowance spent = () -> false;
            assertEquals(AttemptPolicy.next(FULL, history(WorkKind.NON_IDEMPOTENT, 1, false), spent), NextStep.REFUSE);
            assertEquals(AttemptPolicy.next(FULL, history(WorkKind.IDEMPOTENT, 1, true), spent), NextStep.FAIL);
        }
    }

    /** Work that may run again. */
    public static class Repeatable {

        @Test
        public void isSentAgainAfterABreak() {
            assertEquals(next(BROKEN, history(WorkKind.IDEMPOTENT, 1, true)), NextStep.SEND_AGAIN);
            assertEquals(next(BROKEN, history(WorkKind.RESUMABLE_STREAM, 1, true)), NextStep.SEND_AGAIN);
        }

        @Test
        public void staysWithinItsAttempts() {
            assertEquals(next(BROKEN, history(WorkKind.IDEMPOTENT, 2, true)), NextStep.FAIL);
        }

        @Test
        public void staysWithinTheBudget() {
            assertEquals(AttemptPolicy.next(BROKEN, history(WorkKind.IDEMPOTENT, 1, true), () -> false), NextStep.FAIL);
        }

        @Test
        public void aFailureOfTheWorkerIsTriedElsewhere() {
            AttemptResult failed = new AttemptResult.Answered(500);
            assertEquals(next(failed, history(WorkKind.IDEMPOTENT, 1, true)), NextStep.SEND_AGAIN);
            assertEquals(next(failed, history(WorkKind.IDEMPOTENT, 2, true)), NextStep.PASS_ANSWER);
        }
    }

    @Test
    public void aRejectionLeavesTheOnlyAttemptOfARoute() {
        // seen on cuts-and-resets: a replaced worker answered 421 and the caller got 503, with other workers free
        AttemptPolicy.History rejected = new AttemptPolicy.History(WorkKind.STREAM, 1, 0, 1, 0, 500);
        assertEquals(AttemptPolicy.next(FULL, rejected, () -> true), NextStep.SEND_AGAIN);
        assertEquals(AttemptPolicy.next(FULL, rejected, () -> false), NextStep.REFUSE);
        AttemptPolicy.History often = new AttemptPolicy.History(WorkKind.STREAM, 1, 0, 3, 0, 500);
        assertEquals(AttemptPolicy.next(FULL, often, () -> true), NextStep.REFUSE);
    }

    @Test
    public void connectionsThatFailDoNotTakeFromTheBudget() {
        assertEquals(
                AttemptPolicy.next(UNREACHED, history(WorkKind.NON_IDEMPOTENT, 0, false), () -> false),
                NextStep.SEND_AGAIN);
    }
}
