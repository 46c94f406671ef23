package io.lagoonseam.core.forward;

import java.util.EnumMap;
import java.util.Map;

/**
 * The mean size of the prompts of a service, by lane: what a request is taken to hold of which only the count is known.
 */
public final class PromptSizes {

    /** The part of each prompt that enters the mean: some twenty prompts make it. */
    private static final double WEIGHT = 0.05;

    private final Map<Lane, Double> meanTokens = new EnumMap<>(Lane.class);
    private final Map<Lane, Double> meanUnreadTokens = new EnumMap<>(Lane.class);

    /**
     * Takes a prompt.
     *
     * @param lane the lane of its request
     * @param tokens its size
     * @param unreadTokens what its worker has to read of it
     */
    public void observe(Lane lane, long tokens, long unreadTokens) {
        observe(meanTokens, lane, tokens);
        observe(meanUnreadTokens, lane, unreadTokens);
    }

    private static void observe(Map<Lane, Double> means, Lane lane, long tokens) {
        means.merge(lane, (double) tokens, (mean, size) -> mean + WEIGHT * (size - mean));
    }

    /**
     * Returns the mean of what workers have to read of a prompt.
     *
     * @param lane a lane
     * @return tokens, 0 before the first prompt
     */
    public double meanUnreadTokens(Lane lane) {
        return meanUnreadTokens.getOrDefault(lane, 0.0);
    }

    /**
     * Returns the mean size.
     *
     * @param lane a lane
     * @return tokens, 0 before the first prompt
     */
    public double meanTokens(Lane lane) {
        return meanTokens.getOrDefault(lane, 0.0);
    }
}
