package io.lagoonseam.core.routing;

import io.lagoonseam.core.configuration.Tier;
import java.util.Set;

/**
 * The properties of a request that worker selection depends on.
 *
 * @param tier the tier of the request
 * @param prefix the leading blocks of the prompt
 * @param excludedWorkers the names of the workers at which earlier attempts of the request failed; they are selected
 *     only if no other worker has a free slot
 */
public record RoutingRequest(Tier tier, PromptPrefix prefix, Set<String> excludedWorkers) {

    /**
     * Returns a request without a prompt.
     *
     * @param tier the tier of the request
     * @param excludedWorkers the names of the workers at which earlier attempts of the request failed; they are
     *     selected only if no other worker has a free slot
     * @return the request
     */
    public static RoutingRequest withoutPrompt(Tier tier, Set<String> excludedWorkers) {
        return new RoutingRequest(tier, PromptPrefix.EMPTY, excludedWorkers);
    }
}
