package io.lagoonseam.core.operation.internal;

/** Another owner has taken a shard over. */
public final class ShardFencedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public ShardFencedException() {
        super("another owner has taken the shard over");
    }
}
