package io.lagoonseam.entry.dispatch;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.verdict.Refusal;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;

/**
 * The metrics of requests, by class, workspace and worker. Workspaces and workers beyond a bounded number are counted
 * together as {@code other}.
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
     * @param registry where they are registered
     */
    public RouterMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Counts a request that left its queue for a worker.
     *
     * @param ticket the request
     * @param workerName the worker
     * @param waitMillis its time in the queue
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

    /** The longest wait since the start. */
    private static final class LongestWaitGauge implements Gauge<Long> {

        private final LongAccumulator highest = new LongAccumulator(Math::max, 0);

        @Override
        public Long getValue() {
            return highest.get();
        }
    }

    /**
     * Reads the longest time in the queue of any request that was started.
     *
     * @param registry the metrics of a node
     * @param className the class
     * @return milliseconds, 0 if none was started
     */
    public static long longestWaitMillis(MetricRegistry registry, String className) {
        Metric metric = registry.getMetrics().get(longestWaitName("class." + className));
        return metric instanceof LongestWaitGauge gauge ? gauge.getValue() : 0;
    }

    /**
     * Counts an answered request.
     *
     * @param outcome what was measured
     */
    public void answered(RequestOutcome outcome) {
        String prefix = "class." + outcome.requestClass().name();
        countAnswer(prefix, outcome);
        countAnswer("workspace." + workspaces.of(outcome.workspace()), outcome);
        countAnswer("worker." + workers.of(outcome.worker()), outcome);
        registry.timer(prefix + ".firstToken").update(outcome.firstTokenMillis(), TimeUnit.MILLISECONDS);
        registry.counter("goodput.tokens").inc(outcome.tokens());
    }

    private void countAnswer(String prefix, RequestOutcome outcome) {
        registry.counter(prefix + ".answered").inc();
        registry.counter(prefix + ".tokens").inc(outcome.tokens());
        if (outcome.attained()) {
            registry.counter(prefix + ".attained").inc();
        }
    }

    /**
     * Counts a refusal.
     *
     * @param ticket the request
     * @param refusal the refusal
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
     * Counts tokens that were generated for nobody.
     *
     * @param cause the numbered reason in words
     * @param tokens the tokens
     */
    public void wasted(String cause, int tokens) {
        registry.counter("wasted.tokens." + cause).inc(tokens);
    }

    /**
     * Counts an attempt beyond the first one of a request.
     *
     * @param kind retry, hedge, resume or continuation
     */
    public void extraAttempt(String kind) {
        registry.counter("attempts.extra." + kind).inc();
    }
}
