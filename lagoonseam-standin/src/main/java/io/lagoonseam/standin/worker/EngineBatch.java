package io.lagoonseam.standin.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Continuous batching with a prefix cache: the more urgent requests are admitted first, prompts are read in chunks
 * between tokens, and when memory runs out the newest of the least urgent requests is preempted and read in again.
 */
final class EngineBatch {

    private static final Comparator<EngineRun> ORDER =
            Comparator.comparingInt((EngineRun run) -> run.urgency).thenComparingLong(run -> run.arrival);

    private final WorkerOptions options;
    private final List<EngineRun> runs = new ArrayList<>();
    private final Map<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75F, true);
    private long readTokens;
    private long preemptions;

    EngineBatch(WorkerOptions options) {
        this.options = options;
    }

    boolean offer(EngineRun run) {
        if (runs.size() >= options.slots() + options.queue() || run.promptTokens() > options.memoryTokens()) {
            return false;
        }
        runs.add(run);
        return true;
    }

    void remove(EngineRun run) {
        runs.remove(run);
    }

    int running() {
        return (int) runs.stream().filter(run -> run.running).count();
    }

    int waiting() {
        return runs.size() - running();
    }

    long readTokens() {
        return readTokens;
    }

    long preemptions() {
        return preemptions;
    }

    int usedTokens() {
        return runs.stream()
                .filter(run -> run.running)
                .mapToInt(EngineRun::heldTokens)
                .sum();
    }

    /** Runs one step and returns the requests that got a token. */
    List<EngineRun> step() {
        runs.sort(ORDER);
        admit();
        int budget = options.tokensPerStep();
        List<EngineRun> advanced = new ArrayList<>();
        for (EngineRun run : runs) {
            if (!run.running) {
                continue;
            }
            int read = Math.min(budget, run.unreadTokens);
            run.unreadTokens -= read;
            budget -= read;
            readTokens += read;
            if (run.unreadTokens == 0) {
                run.parts.forEach(part -> cachedParts.put(part.id(), part.tokens()));
                run.madeTokens++;
                advanced.add(run);
            }
        }
        shrink();
        return advanced;
    }

    private void admit() {
        int running = running();
        for (EngineRun run : runs) {
            boolean fits = usedTokens() + run.heldTokens() <= options.memoryTokens();
            if (!run.running && running < options.slots() && fits) {
                run.running = true;
                run.unreadTokens = run.heldTokens() - cachedTokens(run);
                running++;
            }
        }
    }

    private int cachedTokens(EngineRun run) {
        int cached = 0;
        for (EngineRun.PromptPart part : run.parts) {
            if (cachedParts.get(part.id()) == null) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }

    private void shrink() {
        while (usedTokens() > options.memoryTokens()) {
            EngineRun last = runs.stream().filter(run -> run.running).max(ORDER).orElseThrow();
            last.running = false;
            preemptions++;
        }
        int cached = cachedParts.values().stream().mapToInt(Integer::intValue).sum();
        var oldest = cachedParts.entrySet().iterator();
        while (cached + usedTokens() > options.memoryTokens() && oldest.hasNext()) {
            cached -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
