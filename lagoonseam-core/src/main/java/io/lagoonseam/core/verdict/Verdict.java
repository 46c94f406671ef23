package io.lagoonseam.core.verdict;

/** States whether a request may have had an effect at its upstream. */
public sealed interface Verdict permits Verdict.NotRun, Verdict.MayHaveRun, Verdict.Ran {

    /** The shared instance of {@link NotRun}. */
    NotRun NOT_RUN = new NotRun();

    /** The shared instance of {@link MayHaveRun}. */
    MayHaveRun MAY_HAVE_RUN = new MayHaveRun();

    /** The shared instance of {@link Ran}. */
    Ran RAN = new Ran();

    /**
     * Returns the name used in answers to callers and in logs.
     *
     * @return one of {@code not_run}, {@code may_have_run} and {@code ran}
     */
    String label();

    /**
     * Returns whether a non-idempotent request with this verdict may be retried.
     *
     * @return true only for {@link NotRun}
     */
    default boolean permitsRetryOfNonIdempotent() {
        return this instanceof NotRun;
    }

    /** No byte of the request reached an upstream. */
    record NotRun() implements Verdict {
        @Override
        public String label() {
            return "not_run";
        }
    }

    /** The request was sent, at least in part, and its outcome is unknown. */
    record MayHaveRun() implements Verdict {
        @Override
        public String label() {
            return "may_have_run";
        }
    }

    /** The upstream answered, so the request has run. */
    record Ran() implements Verdict {
        @Override
        public String label() {
            return "ran";
        }
    }
}
