package io.lagoonseam.bench.experiment.placement;

import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.core.forward.WorkerDemand;
import java.util.OptionalInt;
import java.util.Set;

/** One request of a caller in the model. */
final class ModelRequest {

    final RequestKind kind;
    final int node;
    final long firstMillis;
    final PromptShape prompt;
    final int generatedTokens;
    boolean retried;
    boolean ended;
    long firstEventMillis = -1;
    private double lastEventMillis = -1;
    private double longestGapMillis;

    ModelRequest(RequestKind kind, int node, long firstMillis, PromptShape prompt, int generatedTokens) {
        this.kind = kind;
        this.node = node;
        this.firstMillis = firstMillis;
        this.prompt = prompt;
        this.generatedTokens = generatedTokens;
    }

    void recordEvent(double atMillis) {
        if (lastEventMillis >= 0) {
            longestGapMillis = Math.max(longestGapMillis, atMillis - lastEventMillis);
        }
        lastEventMillis = atMillis;
    }

    boolean inTime() {
        return firstEventMillis - firstMillis <= kind.objectiveMillis() && longestGapMillis <= kind.gapMillis();
    }

    WorkerDemand demand(Lane lane, OptionalInt homePriority) {
        return new WorkerDemand(
                prompt,
                lane,
                kind.objectiveMillis(),
                firstMillis + kind.objectiveMillis(),
                "a",
                homePriority.orElse(kind.priority()),
                homePriority.isPresent(),
                Set.of(),
                "");
    }
}
