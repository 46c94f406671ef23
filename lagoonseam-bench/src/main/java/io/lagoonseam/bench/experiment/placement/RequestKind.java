package io.lagoonseam.bench.experiment.placement;

import io.lagoonseam.core.forward.Lane;

/**
 * The requests of one class.
 *
 * @param name its name
 * @param priority its priority; 0 is the most urgent
 * @param lane its lane if a node chooses the worker
 * @param homeLane its lane if a home chooses the worker
 * @param perSecond the requests per second before each worker, outside bursts
 * @param objectiveMillis the latency objective to the first event, in milliseconds
 * @param deadlineMillis the time for which callers wait, in milliseconds
 * @param prefixes the number of different prefixes for each worker
 * @param prefixTokens the mean size of a prefix, in tokens
 * @param ownTokens the mean size of the rest of a prompt, in tokens
 * @param generatedTokens the mean number of tokens of an answer
 */
record RequestKind(
        String name,
        int priority,
        Lane lane,
        Lane homeLane,
        double perSecond,
        long objectiveMillis,
        long deadlineMillis,
        double prefixes,
        int prefixTokens,
        int ownTokens,
        int generatedTokens) {

    /** The mix of a deployment with long shared prompts, short conversations and tips. */
    static final RequestKind[] MIX = {
        new RequestKind("digest", 2, Lane.TOLERANT, Lane.TOLERANT, 3.62, 1_200, 6_000, 19, 13_300, 3_720, 120),
        new RequestKind("reply", 1, Lane.SENSITIVE, Lane.TOLERANT, 1.24, 300, 4_000, 8.4, 6_300, 2_890, 52),
        new RequestKind("tip", 0, Lane.SENSITIVE, Lane.SENSITIVE, 1.12, 250, 8_000, 17, 350, 1_110, 172),
    };
}
