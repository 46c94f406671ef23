package io.lagoonseam.core.forward;

/** States how often a request may run and in which form its answer comes. */
public enum WorkKind {
    /** May run more than once; the answer is one body. */
    IDEMPOTENT(true, false),
    /** May run at most once; the answer is one body. */
    NON_IDEMPOTENT(false, false),
    /** May run at most once; the answer is a stream of events. */
    STREAM(false, true),
    /** A stream that another worker may continue after its last event. */
    RESUMABLE_STREAM(true, true);

    private final boolean repeatable;
    private final boolean stream;

    WorkKind(boolean repeatable, boolean stream) {
        this.repeatable = repeatable;
        this.stream = stream;
    }

    /**
     * Returns whether a second send is harmless although the first may have run.
     *
     * @return true for idempotent and resumable work
     */
    public boolean repeatable() {
        return repeatable;
    }

    /**
     * Returns whether the answer is a stream of events.
     *
     * @return true for both kinds of streams
     */
    public boolean stream() {
        return stream;
    }
}
