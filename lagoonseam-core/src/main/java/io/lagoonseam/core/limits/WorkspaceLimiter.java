package io.lagoonseam.core.limits;

import io.lagoonseam.core.verdict.Refusal;
import java.util.Optional;

/** Enforces the limits of workspaces. Thread-safe. */
public interface WorkspaceLimiter {

    /**
     * Acquires a concurrency slot for a request.
     *
     * @param workspace the name of the workspace
     * @param nowMillis the current monotonic time in ms
     * @return a refusal if the workspace exceeds its limits; otherwise empty, and the slot is held until it is released
     */
    Optional<Refusal> tryAcquire(String workspace, long nowMillis);

    /**
     * Releases a concurrency slot and charges the generated tokens.
     *
     * @param workspace the name of the workspace
     * @param tokens the number of tokens generated for the request
     * @param nowMillis the current monotonic time in ms
     */
    void release(String workspace, int tokens, long nowMillis);
}
