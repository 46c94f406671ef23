package io.lagoonseam.core.operation;

/** The result of beginning an operation in the journal. */
public sealed interface BeginResult
        permits BeginResult.Started,
                BeginResult.Completed,
                BeginResult.RanBefore,
                BeginResult.InDoubt,
                BeginResult.Mismatched,
                BeginResult.Unavailable {

    /** The intent is durable, and only this attempt may run the operation. */
    record Started() implements BeginResult {}

    /**
     * The operation has already run, and its answer is recorded.
     *
     * @param answer the recorded answer
     */
    record Completed(RecordedAnswer answer) implements BeginResult {}

    /** The operation has already run, but its answer was not recorded. */
    record RanBefore() implements BeginResult {}

    /** An earlier attempt began the operation, and its outcome is unknown. */
    record InDoubt() implements BeginResult {}

    /** The idempotency key is bound to a different request. */
    record Mismatched() implements BeginResult {}

    /**
     * The intent could not be made durable; the operation was not run.
     *
     * @param retryAfterMillis the delay after which to retry, in milliseconds
     */
    record Unavailable(long retryAfterMillis) implements BeginResult {

        /** Another node owns the shard; the same attempt may retry immediately. */
        public static final Unavailable MOVED = new Unavailable(0);
    }
}
