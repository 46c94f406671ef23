package io.lagoonseam.core.forward;

import java.util.Optional;

/**
 * Estimates a worker's time to the first event of a stream from the prompt tokens that it has to read before the event.
 * The rate at which the worker reads prompts (prefill rate) is learnt from observed times as an exponentially weighted
 * moving average.
 */
public final class FirstEventTimeEstimate {

    /** Initial prefill rate, in prompt tokens per millisecond: the low end of present engines. */
    private static final double INITIAL_TOKENS_PER_MILLI = 40;

    /** The weight of each observation in the moving average, which thus covers about ten observations. */
    private static final double SMOOTHING_FACTOR = 0.12;

    /**
     * The minimum size of an observation, in tokens; below it the time is dominated by the network rather than by
     * reading.
     */
    private static final long MIN_TOKENS = 1_500;

    /**
     * The part of the time that does not depend on the tokens, in milliseconds: the network delay and one engine step.
     */
    private static final double FIXED_MILLIS = 25;

    /** The number of observations from which a worker's own rate is used instead of the rate of its service. */
    private static final int MIN_OWN_OBSERVATIONS = 3;

    private final Optional<FirstEventTimeEstimate> serviceEstimate;
    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private int observations;

    /** Creates an estimate without a fallback. */
    public FirstEventTimeEstimate() {
        this.serviceEstimate = Optional.empty();
    }

    /**
     * Creates the estimate for one worker.
     *
     * @param serviceEstimate the estimate over all workers of the service, used until the worker has enough
     *     observations of its own
     */
    public FirstEventTimeEstimate(FirstEventTimeEstimate serviceEstimate) {
        this.serviceEstimate = Optional.of(serviceEstimate);
    }

    /**
     * Records the time to a first event.
     *
     * @param tokens the tokens that the worker had to read before the event, including those of requests queued ahead
     * @param millis the time from sending the request to the event, in milliseconds
     */
    public void observe(long tokens, double millis) {
        if (tokens < MIN_TOKENS) {
            return;
        }
        double rate = tokens / Math.max(1, millis - FIXED_MILLIS);
        observations++;
        // early observations weigh as much as the initial value, which would otherwise dominate for about a second
        double weight = Math.max(SMOOTHING_FACTOR, 1.0 / (1 + observations));
        // a single observation counts with at most 8 times the present rate
        tokensPerMilli += weight * (Math.min(rate, 8 * tokensPerMilli) - tokensPerMilli);
        serviceEstimate.ifPresent(estimate -> estimate.observe(tokens, millis));
    }

    /**
     * Returns the expected time to a first event.
     *
     * @param tokens the tokens that the worker has to read before the event
     * @return the time, in milliseconds
     */
    public double expectedMillis(long tokens) {
        return FIXED_MILLIS + tokens / rate();
    }

    /**
     * Returns the expected time to read prompts.
     *
     * @param tokens the tokens to read
     * @return the time, in milliseconds
     */
    public double readingMillis(double tokens) {
        return tokens / rate();
    }

    private double rate() {
        return observations >= MIN_OWN_OBSERVATIONS || serviceEstimate.isEmpty()
                ? tokensPerMilli
                : serviceEstimate.get().rate();
    }
}
