package io.lagoonseam.core.configuration;

import java.util.Optional;

/**
 * A request class: the requests that it matches and how they are served.
 *
 * @param name the name of the class
 * @param service the name of the service that runs its requests
 * @param serviceLevel the name of its service level
 * @param tier the tier of its requests
 * @param idempotent whether its requests may be run more than once
 * @param model the model that a request must name to match, empty for any model
 * @param pathPrefix the prefix that the path of a request must have to match, empty for any path
 */
public record RequestClass(
        String name,
        String service,
        String serviceLevel,
        Tier tier,
        boolean idempotent,
        Optional<String> model,
        Optional<String> pathPrefix) {}
