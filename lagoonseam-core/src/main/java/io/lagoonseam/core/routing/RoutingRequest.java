package io.lagoonseam.core.routing;

import io.lagoonseam.core.configuration.Tier;
import java.util.Set;

/**
 * A request as routing sees it.
 *
 * @param tier its tier
 * @param prefix the leading blocks of its prompt
 * @param excludedWorkers the workers that failed it already
 */
public record RoutingRequest(Tier tier, PromptPrefix prefix, Set<String> excludedWorkers) {

    /**
     * Returns a request without a prompt.
     *
     * @param tier its tier
     * @param excludedWorkers the workers that failed it already
     * @return the request
     */
    public static RoutingRequest withoutPrompt(Tier tier, Set<String> excludedWorkers) {
        return new RoutingRequest(tier, PromptPrefix.EMPTY, excludedWorkers);
    }
}
