package io.lagoonseam.core.forward;

import io.lagoonseam.core.verdict.Verdict;

/** What came of one send to a worker, before anything of it has reached the caller. */
public sealed interface AttemptResult
        permits AttemptResult.NotRun, AttemptResult.Answered, AttemptResult.Broken, AttemptResult.Silent {

    /**
     * Returns what is known about the request's effect at this worker.
     *
     * @return the verdict
     */
    Verdict verdict();

    /**
     * The worker proved that it did not run the request, or no connection was made.
     *
     * @param reason why, in words
     * @param arrived whether the request reached a worker, which counts against the repeat budget
     */
    record NotRun(String reason, boolean arrived) implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }
    }

    /**
     * A whole answer with a status of its own.
     *
     * @param status the HTTP status
     */
    record Answered(int status) implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.RAN;
        }
    }

    /**
     * The connection or the answer broke.
     *
     * @param reason how, in words
     */
    record Broken(String reason) implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }
    }

    /** Nothing came in time. */
    record Silent() implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }
    }
}
