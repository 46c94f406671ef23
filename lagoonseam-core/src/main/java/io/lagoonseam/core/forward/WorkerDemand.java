package io.lagoonseam.core.forward;

import java.util.OptionalInt;
import java.util.Set;

/**
 * What a request asks of a worker, wherever the worker is chosen.
 *
 * @param prompt the shape of its prompt; without tokens for plain services
 * @param lane its lane; ignored for plain services
 * @param objectiveMillis its latency objective, in milliseconds
 * @param objectiveEndMillis when the time of the objective is over, on the monotonic clock of this node, in
 *     milliseconds
 * @param dataCentre the data centre of the node that forwards it
 * @param priority its priority; 0 is the most urgent
 * @param atHome whether a home chooses the worker, not the node that forwards the request
 * @param triedWorkers the ids of the workers that it was sent to before, which are chosen only if no other can be
 * @param softwareVersion the version of the software of the only workers that may be chosen, since they have to go on
 *     with a stream that it began; empty if each may be chosen
 */
public record WorkerDemand(
        PromptShape prompt,
        Lane lane,
        long objectiveMillis,
        long objectiveEndMillis,
        String dataCentre,
        int priority,
        boolean atHome,
        Set<String> triedWorkers,
        String softwareVersion) {

    /** Makes an immutable copy of the set. */
    public WorkerDemand {
        triedWorkers = Set.copyOf(triedWorkers);
    }

    /**
     * Returns the priority if a home chooses the worker.
     *
     * @return the priority, empty if a node chooses by itself
     */
    public OptionalInt homePriority() {
        return atHome ? OptionalInt.of(priority) : OptionalInt.empty();
    }

    /**
     * Returns whether the request goes on with a stream that has begun.
     *
     * @return whether only workers of one software version may be chosen
     */
    public boolean goesOn() {
        return !softwareVersion.isEmpty();
    }

    /**
     * Returns whether a worker has the software version that the stream needs.
     *
     * @param worker the record of the worker
     * @return whether it may be chosen
     */
    public boolean allows(UpstreamRecord worker) {
        return !goesOn() || worker.softwareVersion().equals(softwareVersion);
    }

    ChoiceRequest choiceRequest(
            long kvCapacityTokens, Set<String> excludedWorkers, boolean acceptsLate, PromptRoom room, long nowMillis) {
        return new ChoiceRequest(
                prompt,
                lane,
                objectiveMillis,
                Math.max(0, objectiveEndMillis - nowMillis),
                dataCentre,
                kvCapacityTokens,
                excludedWorkers,
                homePriority(),
                acceptsLate || goesOn(),
                goesOn(),
                room,
                nowMillis);
    }
}
