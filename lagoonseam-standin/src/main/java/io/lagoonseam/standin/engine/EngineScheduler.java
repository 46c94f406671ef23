package io.lagoonseam.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Continuous batching: who runs in the next step, by priority and then by arrival. */
final class EngineScheduler {

    private static final Comparator<EngineStream> ORDER = Comparator.<EngineStream>comparingInt(
                    stream -> stream.priority)
            .thenComparingLong(stream -> stream.arrival);

    private final Map<String, EngineStream> streams = new LinkedHashMap<>();
    private final int maxBatch;
    private final int prefillTokensPerStep;

    EngineScheduler(int maxBatch, int prefillTokensPerStep) {
        this.maxBatch = maxBatch;
        this.prefillTokensPerStep = prefillTokensPerStep;
    }

    void add(EngineStream stream) {
        streams.put(stream.id, stream);
    }

    EngineStream find(String id) {
        return streams.get(id);
    }

    EngineStream remove(String id) {
        return streams.remove(id);
    }

    List<EngineStream> all() {
        return List.copyOf(streams.values());
    }

    void clear() {
        streams.clear();
    }

    int runningCount() {
        return (int) streams.values().stream()
                .filter(stream -> stream.running && !stream.finished())
                .count();
    }

    int waitingCount() {
        return (int) streams.values().stream()
                .filter(stream -> !stream.running && !stream.finished())
                .count();
    }

    /** Runs one step and returns the streams that got a token. */
    List<EngineStream> step() {
        List<EngineStream> unfinished = new ArrayList<>(
                streams.values().stream().filter(stream -> !stream.finished()).toList());
        unfinished.sort(ORDER);
        int prefillLeft = prefillTokensPerStep;
        List<EngineStream> advanced = new ArrayList<>();
        for (int place = 0; place < unfinished.size(); place++) {
            EngineStream stream = unfinished.get(place);
            stream.running = place < maxBatch;
            if (!stream.running) {
                continue;
            }
            int prefilled = Math.min(prefillLeft, stream.prefillTokens);
            stream.prefillTokens -= prefilled;
            prefillLeft -= prefilled;
            if (stream.prefillTokens == 0) {
                stream.generatedTokens++;
                advanced.add(stream);
            }
        }
        return advanced;
    }

    /** Removes finished streams and those whose reader left too long ago; returns the latter. */
    List<EngineStream> sweep(long nowMillis, long keptMillis) {
        List<EngineStream> abandoned = new ArrayList<>();
        Iterator<EngineStream> iterator = streams.values().iterator();
        while (iterator.hasNext()) {
            EngineStream stream = iterator.next();
            boolean detachedLong = stream.detachedAtMillis > 0 && nowMillis - stream.detachedAtMillis > keptMillis;
            if (detachedLong) {
                iterator.remove();
                if (!stream.finished()) {
                    abandoned.add(stream);
                }
            }
        }
        return abandoned;
    }
}
