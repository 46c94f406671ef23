package io.lagoonseam.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Schedules streams by continuous batching: selects those that run in the next step by priority, then by arrival. */
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

    /** Runs one step and returns the streams that generated a token in it. */
    List<EngineStream> step() {
        List<EngineStream> unfinished = new ArrayList<>(
                streams.values().stream().filter(stream -> !stream.finished()).toList());
        unfinished.sort(ORDER);
        int prefillLeft = prefillTokensPerStep;
        List<EngineStream> advanced = new ArrayList<>();
        for (int rank = 0; rank < unfinished.size(); rank++) {
            EngineStream stream = unfinished.get(rank);
            stream.running = rank < maxBatch;
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

    /**
     * Removes the streams that have been without a reader for more than {@code retentionMillis}.
     *
     * @return the removed streams that had not finished
     */
    List<EngineStream> removeExpired(long nowMillis, long retentionMillis) {
        List<EngineStream> abandoned = new ArrayList<>();
        Iterator<EngineStream> iterator = streams.values().iterator();
        while (iterator.hasNext()) {
            EngineStream stream = iterator.next();
            boolean expired = stream.detachedAtMillis > 0 && nowMillis - stream.detachedAtMillis > retentionMillis;
            if (expired) {
                iterator.remove();
                if (!stream.finished()) {
                    abandoned.add(stream);
                }
            }
        }
        return abandoned;
    }
}
