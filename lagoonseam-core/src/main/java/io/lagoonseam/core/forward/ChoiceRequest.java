package io.lagoonseam.core.forward;

import java.util.OptionalInt;
import java.util.Set;

/**
 * The properties of a request that determine the choice of its worker.
 *
 * @param prompt the shape of its prompt; without tokens for plain services
 * @param lane its lane; ignored for plain services
 * @param objectiveMillis its latency objective, in milliseconds
 * @param objectiveLeftMillis the remaining time of the objective, in milliseconds; 0 if it has passed
 * @param dataCentre the data centre of this node
 * @param kvCapacityTokens the capacity of each worker's KV cache, in tokens; 0 if it is unknown or must not limit the
 *     choice
 * @param excludedWorkers the ids of the workers that must not be selected, usually those that the request was sent to
 *     before
 * @param homePriority the priority of the request if a home chooses, which knows what each worker has in flight; empty
 *     if a node chooses by itself
 * @param acceptsLate whether the fastest worker is to be chosen even if the objective will be missed there
 * @param goesOn whether the request goes on with a stream that has begun, for which few workers may be left: neither
 *     its lane nor the memory that prompts should leave free limits the choice
 * @param room tells whether a worker has room for the prompt besides what it has to do already
 * @param nowMillis the current time, in milliseconds
 */
public record ChoiceRequest(
        PromptShape prompt,
        Lane lane,
        long objectiveMillis,
        long objectiveLeftMillis,
        String dataCentre,
        long kvCapacityTokens,
        Set<String> excludedWorkers,
        OptionalInt homePriority,
        boolean acceptsLate,
        boolean goesOn,
        PromptRoom room,
        long nowMillis) {

    /** Makes an immutable copy of the set. */
    public ChoiceRequest {
        excludedWorkers = Set.copyOf(excludedWorkers);
    }

    /**
     * Returns whether only workers of the request's own lane may be chosen, if it has any. At a home, streams with the
     * shortest gaps between events leave their lane only if they are late anyway, since they miss their gaps beside
     * long prompts.
     */
    boolean boundToLane() {
        return !goesOn && homePriority.isPresent() && (lane == Lane.TOLERANT || !acceptsLate);
    }
}
