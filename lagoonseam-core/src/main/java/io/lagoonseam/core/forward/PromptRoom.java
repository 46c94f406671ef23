package io.lagoonseam.core.forward;

/** Tells whether workers have room for a prompt besides what they have to do already. */
@FunctionalInterface
public interface PromptRoom {

    /** There is room at every worker. */
    PromptRoom UNLIMITED = (worker, unreadTokens) -> true;

    /**
     * Returns whether a worker has room.
     *
     * @param worker the worker
     * @param unreadTokens the tokens of the prompt that it would have to read
     * @return whether the prompt may be sent there
     */
    boolean has(UpstreamState worker, long unreadTokens);
}
