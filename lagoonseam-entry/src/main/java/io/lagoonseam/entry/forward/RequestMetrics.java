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
 * Counts the outcomes of requests by route, workspace and worker, and times responses and first events by route. To
 * limit the number of metrics, only the first {@link #MAX_NAMES} names of each kind get a metric of their own; all
 * later ones share one.
 */
final class RequestMetrics {

    /** Number of names of one kind with a metric of their own; above the number of routes of the known deployments. */
    private static final int MAX_NAMES = 300;

    private static final String OTHER = "other";

    private final MetricRegistry registry;
    private final Map<String, Set<String>> namesByKind = new HashMap<>();

    RequestMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** The outcome of a request. */
    enum Outcome {
        /** A complete response of a worker was forwarded, with any status. */
        ANSWERED,
        /** This node refused the request, which provably has not run. */
        REFUSED,
        /** The caller received no complete response of a worker, and the request may have run. */
        FAILED,
        /** The caller disconnected before the end of the response. */
        LEFT
    }

    private String boundedKey(String kind, String name) {
        Set<String> names = namesByKind.computeIfAbsent(kind, key -> new HashSet<>());
        boolean ownName = names.contains(name) || names.size() < MAX_NAMES && names.add(name);
        return kind + "." + (ownName ? name : OTHER);
    }

    void ended(
            String route, String workspace, Outcome outcome, int status, long responseMillis, long firstEventMillis) {
        String outcomeName = outcome.name().toLowerCase(Locale.ROOT);
        registry.counter("requests." + outcomeName + "." + status).inc();
        String routeKey = boundedKey("route", route);
        registry.counter(routeKey + "." + outcomeName).inc();
        if (!workspace.isEmpty()) {
            registry.counter(boundedKey("workspace", workspace) + "." + outcomeName)
                    .inc();
        }
        if (outcome == Outcome.ANSWERED) {
            registry.timer(routeKey + ".answer").update(responseMillis, TimeUnit.MILLISECONDS);
            if (firstEventMillis > 0) {
                registry.timer(routeKey + ".first_event").update(firstEventMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    void attemptEnded(String worker, String outcome) {
        registry.counter(boundedKey("worker", worker) + "." + outcome).inc();
    }

    void gauge(String name, IntSupplier value) {
        registry.gauge(name, () -> value::getAsInt);
    }
}
