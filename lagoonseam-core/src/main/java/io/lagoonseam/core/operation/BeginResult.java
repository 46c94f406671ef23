package io.lagoonseam.core.operation;

/** What the journal says when an operation is about to begin. */
public sealed interface BeginResult
        permits BeginResult.Started,
                BeginResult.Completed,
                BeginResult.RanBefore,
                BeginResult.InDoubt,
                BeginResult.Mismatched,
                BeginResult.Unavailable {

    /** The intent is durable and this attempt alone may run the operation. */
    record Started() implements BeginResult {}

    /**
     * The operation ran before.
     *
     * @param answer its answer
     */
    record Completed(RecordedAnswer answer) implements BeginResult {}

    /** The operation ran before and its answer was not kept. */
    record RanBefore() implements BeginResult {}

    /** The operation was begun before and its outcome is not known. */
    record InDoubt() implements BeginResult {}

    /** The key is bound to another request. */
    record Mismatched() implements BeginResult {}

    /**
     * The intent could not be made durable; nothing was run.
     *
     * @param retryAfterMillis when to come back
     */
    record Unavailable(long retryAfterMillis) implements BeginResult {

        /** Another node has become the owner; the same attempt may ask again at once. */
        public static final Unavailable MOVED = new Unavailable(0);
    }
}
