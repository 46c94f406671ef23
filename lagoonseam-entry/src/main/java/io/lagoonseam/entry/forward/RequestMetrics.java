package io.lagoonseam.entry.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Counts what became of requests by route, workspace and worker, and times answers and first events by route. The first
 * names of each kind count for themselves, all later ones together.
 */
final class RequestMetrics {

    /**
     * The names of one kind that are counted each for itself: more than the routes of the deployments that are known.
     */
    private static final int NAMES = 300;

    private static final String OTHER = "other";

    private final MetricRegistry registry;
    private final Map<String, Set<String>> namesByKind = new HashMap<>();

    RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** What became of a request. */
    enum Outcome {
        ANSWERED,
        REFUSED,
        FAILED,
        LEFT
    }

    private String bounded(String kind, String name) {
        Set<String> names = namesByKind.computeIfAbsent(kind, key -> new HashSet<>());
        boolean ownName = names.contains(name) || names.size() < NAMES && names.add(name);
        return kind + "." + (ownName ? name : OTHER);
    }

    void ended(String route, String workspace, Outcome outcome, int status, long millis, long firstEventMillis) {
        String outcomeName = outcome.name().toLowerCase(Locale.ROOT);
        registry.counter("requests." + outcomeName + "." + status).inc();
        String routeKey = bounded("route", route);
        registry.counter(routeKey + "." + outcomeName).inc();
        if (!workspace.isEmpty()) {
            registry.counter(bounded("workspace", workspace) + "." + outcomeName)
                    .inc();
        }
        if (outcome == Outcome.ANSWERED) {
            registry.timer(routeKey + ".answer").update(millis, TimeUnit.MILLISECONDS);
            if (firstEventMillis > 0) {
                registry.timer(routeKey + ".first_event").update(firstEventMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    void attemptEnded(String worker, String result) {
        registry.counter(bounded("worker", worker) + "." + result).inc();
    }

    void gauge(String name, IntSupplier value) {
        registry.gauge(name, () -> value::getAsInt);
    }
}
