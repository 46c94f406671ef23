package io.lagoonseam.standin.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates continuous batching with a prefix cache. Requests of higher urgency are admitted first, and prompts are
 * processed in chunks between the generation of tokens. When the KV memory is exhausted, the newest of the least urgent
 * running requests is preempted, and its tokens are processed again when it is readmitted.
 */
final class EngineBatch {

    private static final Comparator<EngineRun> ORDER =
            Comparator.comparingInt((EngineRun run) -> run.urgency).thenComparingLong(run -> run.arrival);

    private final WorkerOptions options;
    private final List<EngineRun> runs = new ArrayList<>();
    private final Map<String, Integer> cachedSegments = new LinkedHashMap<>(16, 0.75F, true);
    private long readTokens;
    private long preemptions;

    EngineBatch(WorkerOptions options) {
        this.options = options;
    }

    boolean tryAdd(EngineRun run) {
        if (runs.size() >= options.slots() + options.queueCapacity()
                || run.promptTokens() > options.kvCapacityTokens()) {
            return false;
        }
        runs.add(run);
        return true;
    }

    void remove(EngineRun run) {
        runs.remove(run);
    }

    boolean holds(EngineRun run) {
        return runs.contains(run);
    }

    /** Forgets all requests and what is cached. */
    void clear() {
        runs.clear();
        cachedSegments.clear();
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
                .mapToInt(EngineRun::kvTokens)
                .sum();
    }

    /** Runs one step and returns the requests that generated a token in it. */
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
                run.segments.forEach(segment -> cachedSegments.put(segment.id(), segment.tokens()));
                run.generatedTokens++;
                advanced.add(run);
            }
        }
        freeMemory();
        return advanced;
    }

    private void admit() {
        int running = running();
        for (EngineRun run : runs) {
            boolean fits = usedTokens() + run.kvTokens() <= options.kvCapacityTokens();
            if (!run.running && running < options.slots() && fits) {
                run.running = true;
                run.unreadTokens = run.kvTokens() - cachedTokens(run);
                running++;
            }
        }
    }

    private int cachedTokens(EngineRun run) {
        int cached = 0;
        for (EngineRun.PromptSegment segment : run.segments) {
            if (cachedSegments.get(segment.id()) == null) {
                return cached;
            }
            cached += segment.tokens();
        }
        return cached;
    }

    private void freeMemory() {
        while (usedTokens() > options.kvCapacityTokens()) {
            EngineRun preempted =
                    runs.stream().filter(run -> run.running).max(ORDER).orElseThrow();
            preempted.running = false;
            preemptions++;
        }
        int cached =
                cachedSegments.values().stream().mapToInt(Integer::intValue).sum();
        var oldest = cachedSegments.entrySet().iterator();
        while (cached + usedTokens() > options.kvCapacityTokens() && oldest.hasNext()) {
            cached -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
