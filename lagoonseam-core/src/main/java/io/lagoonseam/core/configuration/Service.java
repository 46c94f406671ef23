package io.lagoonseam.core.configuration;

import java.util.Optional;

/**
 * A service to which requests are routed.
 *
 * @param name the name of the service
 * @param kind the kind of its upstreams
 * @param checksFencing whether its upstreams reject commands that carry an outdated fencing token; not used by the
 *     router itself
 * @param statusPath the path under which a plain service reports by idempotency key whether an operation ran, empty if
 *     it does not
 * @param silenceMillis the idle timeout: the maximum time without data from an upstream, in milliseconds
 */
public record Service(
        String name, ServiceKind kind, boolean checksFencing, Optional<String> statusPath, long silenceMillis) {}
