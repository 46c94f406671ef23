package io.lagoonseam.entry.dispatch;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.verdict.Refusal;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;

/**
 * Records the metrics of requests by class, workspace and worker. Workspaces beyond the first 200 and workers beyond
 * the first 1000 are counted together as {@code other}, to bound the number of metrics. Thread-safe.
 */
public final class RouterMetrics {

    private static final int WORKSPACE_LIMIT = 200;
    private static final int WORKER_LIMIT = 1_000;

    private final MetricRegistry registry;
    private final BoundedNames workspaces = new BoundedNames(WORKSPACE_LIMIT);
    private final BoundedNames workers = new BoundedNames(WORKER_LIMIT);

    /**
     * Creates the metrics.
     *
     * @param registry the registry in which they are registered
     */
    public RouterMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Records that a request left its queue and was assigned to a worker.
     *
     * @param ticket the request
     * @param workerName the name of the worker
     * @param waitMillis the time in the queue, in milliseconds
     */
    public void started(Ticket ticket, String workerName, long waitMillis) {
        String prefix = classPrefix(ticket);
        registry.timer(prefix + ".queueWait").update(waitMillis, TimeUnit.MILLISECONDS);
        longestWait(prefix).accumulate(waitMillis);
        registry.counter("worker." + workers.of(workerName) + ".started").inc();
    }

    private LongAccumulator longestWait(String prefix) {
        return registry.gauge(longestWaitName(prefix), LongestWaitGauge::new).highest;
    }

    private static String longestWaitName(String prefix) {
        return prefix + ".longestWaitMillis";
    }

    /** Gauge of the longest queue wait since the node started, in milliseconds. */
    private static final class LongestWaitGauge implements Gauge<Long> {

        private final LongAccumulator highest = new LongAccumulator(Math::max, 0);

        @Override
        public Long getValue() {
            return highest.get();
        }
    }

    /**
     * Returns the longest queue wait of the started requests of a class.
     *
     * @param registry the metric registry of a node
     * @param className the name of the request class
     * @return milliseconds, 0 if no request of the class was started
     */
    public static long longestWaitMillis(MetricRegistry registry, String className) {
        Metric metric = registry.getMetrics().get(longestWaitName("class." + className));
        return metric instanceof LongestWaitGauge gauge ? gauge.getValue() : 0;
    }

    /**
     * Records an answered request.
     *
     * @param measurements the measurements of the request
     */
    public void answered(AnswerMeasurements measurements) {
        String prefix = "class." + measurements.requestClass().name();
        countAnswer(prefix, measurements);
        countAnswer("workspace." + workspaces.of(measurements.workspace()), measurements);
        countAnswer("worker." + workers.of(measurements.worker()), measurements);
        registry.timer(prefix + ".firstToken").update(measurements.firstTokenMillis(), TimeUnit.MILLISECONDS);
        registry.counter("goodput.tokens").inc(measurements.tokens());
    }

    private void countAnswer(String prefix, AnswerMeasurements measurements) {
        registry.counter(prefix + ".answered").inc();
        registry.counter(prefix + ".tokens").inc(measurements.tokens());
        if (measurements.metObjectives()) {
            registry.counter(prefix + ".attained").inc();
        }
    }

    /**
     * Counts a refused request by verdict and event number.
     *
     * @param ticket the request
     * @param refusal the refusal that was sent to the caller
     */
    public void refused(Ticket ticket, Refusal refusal) {
        String reason =
                ".refused." + refusal.verdict().label() + "." + refusal.event().number();
        registry.counter(classPrefix(ticket) + reason).inc();
        registry.counter("workspace." + workspaces.of(ticket.workspace()) + reason)
                .inc();
    }

    private static String classPrefix(Ticket ticket) {
        return "class." + ticket.requestClass().name();
    }

    /**
     * Counts generated tokens that were wasted because their request ended without a complete answer.
     *
     * @param ticket the request for which they were generated
     * @param cause the reason, used as the last part of the metric name
     * @param tokens the number of tokens
     */
    public void wasted(Ticket ticket, String cause, int tokens) {
        registry.counter("wasted.tokens." + cause).inc(tokens);
        registry.counter(classPrefix(ticket) + ".wasted." + cause).inc(tokens);
        registry.counter("workspace." + workspaces.of(ticket.workspace()) + ".wasted." + cause)
                .inc(tokens);
    }

    /**
     * Counts an attempt beyond the first one of a request.
     *
     * @param kind the kind of attempt: retry, hedge, resume or continuation
     */
    public void extraAttempt(String kind) {
        registry.counter("attempts.extra." + kind).inc();
    }
}
