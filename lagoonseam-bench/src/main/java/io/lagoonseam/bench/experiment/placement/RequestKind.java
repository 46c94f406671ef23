package io.lagoonseam.bench.experiment.placement;

import io.lagoonseam.core.forward.Lane;
import java.util.List;

/**
 * The requests of one class.
 *
 * @param name its name
 * @param priority its priority; 0 is the most urgent
 * @param lane its lane if a node chooses the worker
 * @param homeLane its lane if a home chooses the worker
 * @param perSecond the requests per second before each worker, outside bursts
 * @param objectiveMillis the latency objective to the first event, in milliseconds
 * @param gapMillis the objective for the gap between events, in milliseconds
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
        long gapMillis,
        long deadlineMillis,
        double prefixes,
        int prefixTokens,
        int ownTokens,
        int generatedTokens) {

    /** The mix of a deployment with long shared prompts, short conversations and tips. */
    static final List<RequestKind> MIX = List.of(
            new RequestKind(
                    "digest", 2, Lane.TOLERANT, Lane.TOLERANT, 3.62, 1_200, 1_000, 6_000, 19, 13_300, 3_720, 120),
            new RequestKind("reply", 1, Lane.SENSITIVE, Lane.TOLERANT, 1.24, 300, 400, 4_000, 8.4, 6_300, 2_890, 52),
            new RequestKind("tip", 0, Lane.SENSITIVE, Lane.SENSITIVE, 1.12, 250, 250, 8_000, 17, 350, 1_110, 172));

    /** The mix of a deployment with short deadlines, whose answers have to end soon. */
    static final List<RequestKind> SHORT_DEADLINES = List.of(
            new RequestKind("digest", 2, Lane.TOLERANT, Lane.TOLERANT, 4.8, 1_500, 1_200, 4_000, 28, 6_300, 2_890, 52),
            new RequestKind("reply", 1, Lane.SENSITIVE, Lane.TOLERANT, 1.86, 500, 500, 3_000, 26, 568, 1_800, 22),
            new RequestKind("tip", 0, Lane.SENSITIVE, Lane.SENSITIVE, 1.41, 300, 300, 12_000, 9, 172, 543, 280));
}
