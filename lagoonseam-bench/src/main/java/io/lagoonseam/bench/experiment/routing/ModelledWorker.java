package io.lagoonseam.bench.experiment.routing;

import io.lagoonseam.core.routing.PromptPrefix;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** A simulated worker that runs one batch of requests, queues the rest and caches the most recently used prefixes. */
final class ModelledWorker {

    static final int BATCH_SLOTS = 16;

    private static final int CACHED_PREFIXES = 6;
    private static final double MILLIS_PER_TOKEN = 10;
    private static final double PREFILL_MILLIS_PER_BLOCK = 1.5;

    private final String name;
    private final Deque<ModelledRequest> queue = new ArrayDeque<>();
    private final Set<PromptPrefix> cachedPrefixes = new LinkedHashSet<>();
    private int running;
    private int reportedLoad;

    ModelledWorker(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    void enqueue(ModelledRequest request) {
        queue.addLast(request);
    }

    /** Starts the next queued request and sets its times; returns null if the batch is full or the queue is empty. */
    ModelledRequest startNext(double nowMillis) {
        if (running >= BATCH_SLOTS || queue.isEmpty()) {
            return null;
        }
        ModelledRequest request = queue.removeFirst();
        running++;
        boolean prefixHit = cachedPrefixes.remove(request.prefix());
        cachedPrefixes.add(request.prefix());
        if (cachedPrefixes.size() > CACHED_PREFIXES) {
            Iterator<PromptPrefix> oldest = cachedPrefixes.iterator();
            oldest.next();
            oldest.remove();
        }
        double prefillMillis =
                prefixHit ? 0 : PREFILL_MILLIS_PER_BLOCK * request.prefix().blocks();
        request.recordStart(nowMillis + prefillMillis, prefixHit);
        request.setEndMillis(nowMillis + prefillMillis + MILLIS_PER_TOKEN * request.tokens());
        return request;
    }

    void finish() {
        running--;
    }

    void updateReport() {
        reportedLoad = running + queue.size();
    }

    int reportedLoad() {
        return reportedLoad;
    }
}
