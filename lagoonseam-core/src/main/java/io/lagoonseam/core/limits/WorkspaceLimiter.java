package io.lagoonseam.core.limits;

import io.lagoonseam.core.verdict.Refusal;
import java.util.Optional;

/** Keeps workspaces within their limits. Thread-safe. */
public interface WorkspaceLimiter {

    /**
     * Takes a place for a request.
     *
     * @param workspace the workspace
     * @param nowMillis the monotonic time
     * @return a refusal if the workspace is over its limit; otherwise the place is held until it is given back
     */
    Optional<Refusal> tryAcquire(String workspace, long nowMillis);

    /**
     * Gives a place back.
     *
     * @param workspace the workspace
     * @param tokens the tokens that were generated for it
     * @param nowMillis the monotonic time
     */
    void release(String workspace, int tokens, long nowMillis);
}
