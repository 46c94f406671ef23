package io.lagoonseam.bench.experiment.routing;

import io.lagoonseam.core.routing.PromptPrefix;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** A worker that runs a batch at once, queues the rest and caches the prefixes that it used last. */
final class ModelledWorker {

    static final int BATCH = 16;

    private static final int CACHED_PREFIXES = 6;
    private static final double MILLIS_PER_TOKEN = 10;
    private static final double PREFILL_MILLIS_PER_BLOCK = 1.5;

    private final String name;
    private final Deque<ModelledRequest> queue = new ArrayDeque<>();
    private final Set<PromptPrefix> cached = new LinkedHashSet<>();
    private int running;
    private int reportedLoad;

    ModelledWorker(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    void add(ModelledRequest request) {
        queue.addLast(request);
    }

    /** Starts the next request if the batch has room; its times are then known. */
    ModelledRequest startNext(double nowMillis) {
        if (running >= BATCH || queue.isEmpty()) {
            return null;
        }
        ModelledRequest request = queue.removeFirst();
        running++;
        boolean hit = cached.remove(request.prefix());
        cached.add(request.prefix());
        if (cached.size() > CACHED_PREFIXES) {
            Iterator<PromptPrefix> oldest = cached.iterator();
            oldest.next();
            oldest.remove();
        }
        double prefillMillis =
                hit ? 0 : PREFILL_MILLIS_PER_BLOCK * request.prefix().blocks();
        request.started(nowMillis + prefillMillis, hit);
        request.endsAt(nowMillis + prefillMillis + MILLIS_PER_TOKEN * request.tokens());
        return request;
    }

    void finish() {
        running--;
    }

    void report() {
        reportedLoad = running + queue.size();
    }

    int reportedLoad() {
        return reportedLoad;
    }
}
