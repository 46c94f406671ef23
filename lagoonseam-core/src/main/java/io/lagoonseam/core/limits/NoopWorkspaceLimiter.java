package io.lagoonseam.core.limits;

import io.lagoonseam.core.verdict.Refusal;
import java.util.Optional;

/** Limits nothing. */
public final class NoopWorkspaceLimiter implements WorkspaceLimiter {

    @Override
    public Optional<Refusal> tryAcquire(String workspace, long nowMillis) {
        return Optional.empty();
    }

    @Override
    public void release(String workspace, int tokens, long nowMillis) {
        // Nothing is held.
    }
}
