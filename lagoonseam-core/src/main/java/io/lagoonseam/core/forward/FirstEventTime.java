package io.lagoonseam.core.forward;

import java.util.Optional;

/** Learns how fast a worker reads prompts from the times to first events, and so how long the next one will take. */
public final class FirstEventTime {

    /** Prompt tokens a millisecond before anything is learnt: the low end of what present engines read. */
    private static final double INITIAL_TOKENS_PER_MILLI = 40;

    /** The part of each observation that enters the mean: some ten observations make it. */
    private static final double WEIGHT = 0.12;

    /** Observations of fewer tokens say more of the way than of the reading. */
    private static final long ENOUGH_TOKENS = 1_500;

    /** The time of a first event that is not spent on reading, in milliseconds: the way and one step of the engine. */
    private static final double FIXED_MILLIS = 25;

    /** Observations from which on a worker's own mean is used instead of its service's. */
    private static final int OWN_OBSERVATIONS = 3;

    private final Optional<FirstEventTime> service;
    private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;
    private int observations;

    /** Creates an estimate that stands alone. */
    public FirstEventTime() {
        this.service = Optional.empty();
    }

    /**
     * Creates the estimate of one worker.
     *
     * @param service the estimate over all workers of its service, used until the worker has some events of its own
     */
    public FirstEventTime(FirstEventTime service) {
        this.service = Optional.of(service);
    }

    /**
     * Takes the time of a first event.
     *
     * @param tokens the tokens that the worker had to read before it, those that waited there included
     * @param millis from the send to the event
     */
    public void observe(long tokens, double millis) {
        if (tokens < ENOUGH_TOKENS) {
            return;
        }
        double rate = tokens / Math.max(1, millis - FIXED_MILLIS);
        observations++;
        // the first observations count as much as what was assumed, or they would take a second to overcome it
        double weight = Math.max(WEIGHT, 1.0 / (1 + observations));
        tokensPerMilli += weight * (Math.min(rate, 8 * tokensPerMilli) - tokensPerMilli);
        service.ifPresent(all -> all.observe(tokens, millis));
    }

    /**
     * Returns the expected time to a first event.
     *
     * @param tokens the tokens that the worker has to read before it
     * @return milliseconds
     */
    public double expectedMillis(long tokens) {
        return FIXED_MILLIS + tokens / rate();
    }

    private double rate() {
        return observations >= OWN_OBSERVATIONS || service.isEmpty()
                ? tokensPerMilli
                : service.get().rate();
    }
}
