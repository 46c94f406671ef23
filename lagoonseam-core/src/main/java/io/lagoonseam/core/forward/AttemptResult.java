package io.lagoonseam.core.forward;

import io.lagoonseam.core.verdict.Verdict;

/** The outcome of one attempt at a worker, before any part of the answer has reached the caller. */
public sealed interface AttemptResult
        permits AttemptResult.NotRun, AttemptResult.Answered, AttemptResult.Broken, AttemptResult.Silent {

    /**
     * Returns whether the request ran at this worker, as far as that is known.
     *
     * @return the verdict
     */
    Verdict verdict();

    /**
     * The worker proved that it did not run the request, or no connection was established.
     *
     * @param reason a description of the cause
     * @param arrived whether the request reached a worker; if so, its retry counts against the retry budget
     */
    record NotRun(String reason, boolean arrived) implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }
    }

    /**
     * The worker sent a complete answer.
     *
     * @param status the HTTP status code
     */
    record Answered(int status) implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.RAN;
        }
    }

    /**
     * The connection or the answer ended early or was malformed.
     *
     * @param reason a description of the cause
     */
    record Broken(String reason) implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }
    }

    /** The worker did not respond within the response timeout. */
    record Silent() implements AttemptResult {
        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }
    }
}
