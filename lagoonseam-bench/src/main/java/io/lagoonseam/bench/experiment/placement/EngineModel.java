package io.lagoonseam.bench.experiment.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A model engine on the virtual clock. It batches continuously: each step reads a chunk of one prompt and generates a
 * token of each running request. Prefixes are cached in the memory that running requests leave, the least recently used
 * yield first. A more urgent request preempts the newest of the least urgent ones if all slots are taken.
 */
final class EngineModel {

    /** Moving a prefix from another engine: its set-up, and the tokens per millisecond of the link. */
    private static final double COPY_SETUP_MILLIS = 5;

    private static final double COPY_TOKENS_PER_MILLI = 2_500;

    private final Map<Long, Integer> cache = new LinkedHashMap<>(16, 0.75F, true);
    private final List<Run> runs = new ArrayList<>();
    private final EngineSpec spec;
    private final Consumer<ModelRequest> onFirstEvent;
    private final Consumer<ModelRequest> onEnd;
    private double nextStepMillis;
    private long order;
    private long lastUnshared;
    boolean up = true;
    long readTokens;
    long readAgainTokens;
    long preemptions;

    /** A request at the engine. */
    private static final class Run {
        private final ModelRequest request;
        private final EngineModel copyFrom;
        final long order;
        private boolean admitted;
        private int unread;
        private int generated;
        private double readyMillis;

        Run(ModelRequest request, EngineModel copyFrom, long order) {
            this.request = request;
            this.copyFrom = copyFrom;
            this.order = order;
        }
    }

    EngineModel(EngineSpec spec, Consumer<ModelRequest> onFirstEvent, Consumer<ModelRequest> onEnd) {
        this.spec = spec;
        this.onFirstEvent = onFirstEvent;
        this.onEnd = onEnd;
    }

    /** Adds a request; returns false if the engine is down or full. */
    boolean add(ModelRequest request, EngineModel copyFrom) {
        if (!up || runs.size() >= spec.slots() + spec.queue()) {
            return false;
        }
        order++;
        runs.add(new Run(request, copyFrom, order));
        return true;
    }

    void remove(ModelRequest request) {
        runs.removeIf(run -> run.request.equals(request));
    }

    /** Takes the engine down; returns the requests that are lost. */
    List<ModelRequest> crash() {
        up = false;
        List<ModelRequest> lost = runs.stream().map(run -> run.request).toList();
        runs.clear();
        cache.clear();
        return lost;
    }

    int running() {
        return (int) runs.stream().filter(run -> run.generated > 0).count();
    }

    int waiting() {
        return runs.size() - running();
    }

    void advance(long nowMillis) {
        while (up && nextStepMillis <= nowMillis) {
            admit(nextStepMillis);
            double duration = step();
            nextStepMillis = Math.max(nextStepMillis + duration, nowMillis - 1.0);
        }
    }

    private long usedTokens() {
        return runs.stream()
                .filter(run -> run.admitted)
                .mapToLong(run -> run.request.prompt.tokens() + run.generated)
                .sum();
    }

    private void admit(double nowMillis) {
        List<Run> waiting = new ArrayList<>(runs.stream()
                .filter(run -> !run.admitted)
                .sorted(Comparator.comparingInt((Run run) -> run.request.kind.priority())
                        .thenComparingLong(run -> run.order))
                .toList());
        long admitted = runs.size() - waiting.size();
        long used = usedTokens();
        for (Run run : waiting) {
            boolean fits = used == 0 || used + run.request.prompt.tokens() <= spec.kvTokens();
            if (!fits || admitted >= spec.slots()) {
                Optional<Run> least = runs.stream()
                        .filter(other -> other.admitted)
                        .max(Comparator.comparingInt((Run other) -> other.request.kind.priority())
                                .thenComparingLong(other -> other.order));
                if (least.isEmpty() || least.get().request.kind.priority() <= run.request.kind.priority()) {
                    return;
                }
                Run victim = least.get();
                victim.admitted = false;
                used -= victim.request.prompt.tokens() + victim.generated;
                admitted--;
                preemptions++;
                if (used + run.request.prompt.tokens() > spec.kvTokens()) {
                    return;
                }
            }
            admitted++;
            used += run.request.prompt.tokens();
            start(run, nowMillis);
        }
    }

    private void start(Run run, double nowMillis) {
        var prompt = run.request.prompt;
        run.admitted = true;
        run.readyMillis = nowMillis;
        run.unread = prompt.tokens();
        if (prompt.prefixTokens() > 0 && cache.get(prompt.prefixHash()) != null) {
            run.unread -= prompt.prefixTokens();
        } else if (run.copyFrom != null && run.copyFrom.up && run.copyFrom.cache.get(prompt.prefixHash()) != null) {
            run.unread -= prompt.prefixTokens();
            run.readyMillis += COPY_SETUP_MILLIS + prompt.prefixTokens() / COPY_TOKENS_PER_MILLI;
        }
    }

    private double step() {
        int budget = spec.chunkTokens();
        int active = 0;
        List<ModelRequest> first = new ArrayList<>();
        List<ModelRequest> ended = new ArrayList<>();
        List<Run> ordered = new ArrayList<>(runs);
        ordered.sort(Comparator.comparingInt((Run run) -> run.request.kind.priority())
                .thenComparingLong(run -> run.order));
        for (Run run : ordered) {
            if (!run.admitted || run.readyMillis > nextStepMillis) {
                continue;
            }
            active++;
            if (run.unread > 0) {
                int read = Math.min(run.unread, budget);
                budget -= read;
                run.unread -= read;
                if (run.unread > 0) {
                    continue;
                }
                cachePrefix(run.request);
            }
            run.generated++;
            if (run.generated == 1) {
                first.add(run.request);
            }
            if (run.generated % spec.eventTokens() == 1) {
                run.request.recordEvent(nextStepMillis);
            }
            if (run.generated >= run.request.generatedTokens) {
                ended.add(run.request);
                runs.remove(run);
                lastUnshared--;
                cache.put(
                        lastUnshared, run.request.prompt.tokens() - run.request.prompt.prefixTokens() + run.generated);
                evict();
            }
        }
        readTokens += spec.chunkTokens() - budget;
        first.forEach(onFirstEvent);
        ended.forEach(onEnd);
        return active == 0
                ? 1
                : spec.stepMillis()
                        + spec.stepMillisPerRequest() * active
                        + (spec.chunkTokens() - budget) / spec.tokensPerMilli();
    }

    private void cachePrefix(ModelRequest request) {
        var prompt = request.prompt;
        if (prompt.prefixTokens() == 0) {
            return;
        }
        cache.put(prompt.prefixHash(), prompt.prefixTokens());
        evict();
    }

    /** Requests in flight with the same prefix share it; what they do not share takes room from what is cached. */
    private void evict() {
        long used = runs.stream()
                .filter(run -> run.admitted)
                .mapToLong(run -> run.request.prompt.tokens() - run.request.prompt.prefixTokens() + run.generated)
                .sum();
        long cached = cache.values().stream().mapToLong(Integer::longValue).sum();
        var eldest = cache.entrySet().iterator();
        while (cached > spec.kvTokens() - used && eldest.hasNext()) {
            cached -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
