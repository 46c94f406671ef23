package io.lagoonseam.core.forward;

import java.util.Set;

/**
 * What matters of a request when its worker is chosen.
 *
 * @param prompt the parts of its prompt, none for plain services
 * @param lane its lane, of no meaning at plain services
 * @param objectiveMillis the latency objective
 * @param objectiveLeftMillis what is left of it, 0 if it has passed
 * @param dataCentre where this node is
 * @param memoryTokens what the memory of each worker holds, 0 if it is unknown or shall not matter
 * @param avoided workers that it was sent to before
 * @param nowMillis the time
 */
public record ChoiceRequest(
        PromptParts prompt,
        Lane lane,
        long objectiveMillis,
        long objectiveLeftMillis,
        String dataCentre,
        long memoryTokens,
        Set<String> avoided,
        long nowMillis) {

    /** Copies the set. */
    public ChoiceRequest {
        avoided = Set.copyOf(avoided);
    }
}
