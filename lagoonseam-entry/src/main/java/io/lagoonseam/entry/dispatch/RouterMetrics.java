package io.lagoonseam.entry.dispatch;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.verdict.Refusal;
import java.util.concurrent.TimeUnit;

/** The metrics of requests, by class. */
public final class RouterMetrics {

    private final MetricRegistry registry;

    /**
     * Creates the metrics.
     *
     * @param registry where they are registered
     */
    public RouterMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Counts an answered request.
     *
     * @param outcome what was measured
     */
    public void answered(RequestOutcome outcome) {
        String prefix = "class." + outcome.requestClass().name();
        registry.counter(prefix + ".answered").inc();
        if (outcome.attained()) {
            registry.counter(prefix + ".attained").inc();
        }
        registry.timer(prefix + ".firstToken").update(outcome.firstTokenMillis(), TimeUnit.MILLISECONDS);
        registry.counter("goodput.tokens").inc(outcome.tokens());
    }

    /**
     * Counts a refusal.
     *
     * @param className the request's class
     * @param refusal the refusal
     */
    public void refused(String className, Refusal refusal) {
        registry.counter("class." + className + ".refused." + refusal.verdict().label() + "."
                        + refusal.event().number())
                .inc();
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
