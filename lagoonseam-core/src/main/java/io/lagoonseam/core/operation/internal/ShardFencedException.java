package io.lagoonseam.core.operation.internal;

/** Thrown when a record cannot become durable because another node has taken over the shard. */
public final class ShardFencedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public ShardFencedException() {
        super("journal shard fenced: another node has taken it over");
    }
}
