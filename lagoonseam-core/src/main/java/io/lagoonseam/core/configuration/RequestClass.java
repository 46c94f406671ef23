package io.lagoonseam.core.configuration;

import java.util.Optional;

/**
 * A request class: which requests it takes and how they are served.
 *
 * @param name its name
 * @param service the service that runs its requests
 * @param serviceLevel the name of its service level
 * @param tier its tier
 * @param idempotent whether its requests may be run more than once
 * @param model the model that its requests must name, if it takes only one
 * @param pathPrefix the path that its requests must begin with, if it takes only one
 */
public record RequestClass(
        String name,
        String service,
        String serviceLevel,
        Tier tier,
        boolean idempotent,
        Optional<String> model,
        Optional<String> pathPrefix) {}
