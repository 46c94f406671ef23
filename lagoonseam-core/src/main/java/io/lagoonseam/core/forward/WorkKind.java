package io.lagoonseam.core.forward;

/** Whether a request may run more than once and whether its answer is streamed. */
public enum WorkKind {
    /** May run more than once; the answer is a single body. */
    IDEMPOTENT(true, false),
    /** May run at most once; the answer is a single body. */
    NON_IDEMPOTENT(false, false),
    /** May run at most once; the answer is a stream of events. */
    STREAM(false, true),
    /** A stream that another worker can resume after its last event. */
    RESUMABLE_STREAM(true, true);

    private final boolean retryable;
    private final boolean stream;

    WorkKind(boolean retryable, boolean stream) {
        this.retryable = retryable;
        this.stream = stream;
    }

    /**
     * Returns whether a request may be retried after an attempt that may have run.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean retryable() {
        return retryable;
    }

    /**
     * Returns whether the answer is a stream of events.
     *
     * @return true for streams, resumable or not
     */
    public boolean stream() {
        return stream;
    }
}
