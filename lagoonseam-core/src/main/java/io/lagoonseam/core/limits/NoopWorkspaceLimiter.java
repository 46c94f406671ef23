package io.lagoonseam.core.limits;

import io.lagoonseam.core.verdict.Refusal;
import java.util.Optional;

/** A limiter that admits every request. */
public final class NoopWorkspaceLimiter implements WorkspaceLimiter {

    @Override
    public Optional<Refusal> tryAcquire(String workspace, long nowMillis) {
        return Optional.empty();
    }

    @Override
    public void release(String workspace, int tokens, long nowMillis) {
        // No slot is acquired, so there is none to release.
    }
}
