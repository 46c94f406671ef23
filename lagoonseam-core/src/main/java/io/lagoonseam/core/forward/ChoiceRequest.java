package io.lagoonseam.core.forward;

import java.util.Set;

/**
 * What matters of a request when its worker is chosen.
 *
 * @param prompt the parts of its prompt, none for plain services
 * @param objectiveMillis the latency objective that is left
 * @param dataCentre where this node is
 * @param avoided workers that it was sent to before
 * @param nowMillis the time
 */
public record ChoiceRequest(
        PromptParts prompt, long objectiveMillis, String dataCentre, Set<String> avoided, long nowMillis) {

    /** Copies the set. */
    public ChoiceRequest {
        avoided = Set.copyOf(avoided);
    }
}
