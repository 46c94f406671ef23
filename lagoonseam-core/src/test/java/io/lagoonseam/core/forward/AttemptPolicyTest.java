package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests the next step after each attempt outcome, for each kind of work. */
public class AttemptPolicyTest {

    private static final AttemptResult FULL = new AttemptResult.NotRun("full", true);
    private static final AttemptResult NOT_CONNECTED = new AttemptResult.NotRun("no connection", false);
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
        public void isRetriedOnlyIfProvenNotRun() {
            for (WorkKind kind : new WorkKind[] {WorkKind.NON_IDEMPOTENT, WorkKind.STREAM}) {
                assertEquals(next(FULL, history(kind, 1, false)), NextStep.RETRY);
                assertEquals(next(NOT_CONNECTED, history(kind, 0, false)), NextStep.RETRY);
                assertEquals(next(BROKEN, history(kind, 1, true)), NextStep.FAIL);
                assertEquals(next(new AttemptResult.Silent(), history(kind, 1, true)), NextStep.FAIL);
            }
        }

        @Test
        public void serverErrorIsForwarded() {
            assertEquals(
                    next(new AttemptResult.Answered(500), history(WorkKind.NON_IDEMPOTENT, 1, true)),
                    NextStep.FORWARD_ANSWER);
        }

        @Test
        public void isRefusedOnlyIfNoAttemptMayHaveRun() {
            AttemptPolicy.RetryPermits exhausted = () -> false;
            assertEquals(
                    AttemptPolicy.next(FULL, history(WorkKind.NON_IDEMPOTENT, 1, false), exhausted), NextStep.REFUSE);
            assertEquals(AttemptPolicy.next(FULL, history(WorkKind.IDEMPOTENT, 1, true), exhausted), NextStep.FAIL);
        }
    }

    /** Work that may run more than once. */
    public static class Retryable {

        @Test
        public void isRetriedAfterBrokenConnection() {
            assertEquals(next(BROKEN, history(WorkKind.IDEMPOTENT, 1, true)), NextStep.RETRY);
            assertEquals(next(BROKEN, history(WorkKind.RESUMABLE_STREAM, 1, true)), NextStep.RETRY);
        }

        @Test
        public void isNotRetriedBeyondMaxAttempts() {
            assertEquals(next(BROKEN, history(WorkKind.IDEMPOTENT, 2, true)), NextStep.FAIL);
        }

        @Test
        public void isNotRetriedBeyondTheBudget() {
            assertEquals(AttemptPolicy.next(BROKEN, history(WorkKind.IDEMPOTENT, 1, true), () -> false), NextStep.FAIL);
        }

        @Test
        public void serverErrorIsRetriedAtAnotherWorker() {
            AttemptResult failed = new AttemptResult.Answered(500);
            assertEquals(next(failed, history(WorkKind.IDEMPOTENT, 1, true)), NextStep.RETRY);
            assertEquals(next(failed, history(WorkKind.IDEMPOTENT, 2, true)), NextStep.FORWARD_ANSWER);
        }
    }

    @Test
    public void rejectionsDoNotCountAsAttempts() {
        // on a route with a single attempt, a replaced worker answered 421 and the caller got 503 although other
        // workers were free
        AttemptPolicy.History rejected = new AttemptPolicy.History(WorkKind.STREAM, 1, 0, 1, 0, 500);
        assertEquals(AttemptPolicy.next(FULL, rejected, () -> true), NextStep.RETRY);
        assertEquals(AttemptPolicy.next(FULL, rejected, () -> false), NextStep.REFUSE);
        AttemptPolicy.History rejectedThreeTimes = new AttemptPolicy.History(WorkKind.STREAM, 1, 0, 3, 0, 500);
        assertEquals(AttemptPolicy.next(FULL, rejectedThreeTimes, () -> true), NextStep.REFUSE);
    }

    /** Otherwise a crash of several workers spends the budget on sends that reach none. */
    @Test
    public void connectFailuresOfAStreamThatGoesOnDoNotUseTheBudget() {
        AttemptPolicy.History begun = new AttemptPolicy.History(WorkKind.RESUMABLE_STREAM, 2, 1, 0, 1, 1_000);
        assertEquals(AttemptPolicy.next(NOT_CONNECTED, begun, () -> false), NextStep.RETRY);
        AttemptPolicy.History often = new AttemptPolicy.History(WorkKind.RESUMABLE_STREAM, 2, 1, 0, 4, 1_000);
        assertEquals(AttemptPolicy.next(NOT_CONNECTED, often, () -> true), NextStep.FAIL);
    }

    @Test
    public void connectFailuresDoNotUseTheBudget() {
        assertEquals(
                AttemptPolicy.next(NOT_CONNECTED, history(WorkKind.NON_IDEMPOTENT, 0, false), () -> false),
                NextStep.RETRY);
    }
}
