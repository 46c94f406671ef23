package io.lagoonseam.core.configuration;

import java.util.Optional;

/**
 * A service that the system routes to.
 *
 * @param name its name
 * @param kind model engines or plain
 * @param checksFencing whether its upstreams refuse orders that carry an old fencing number
 * @param statusPath where a plain service tells by key whether an operation ran, if it can
 * @param silenceMillis the longest time without a byte from an upstream
 */
public record Service(
        String name, ServiceKind kind, boolean checksFencing, Optional<String> statusPath, long silenceMillis) {}
