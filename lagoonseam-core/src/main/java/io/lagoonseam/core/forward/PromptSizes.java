package io.lagoonseam.core.forward;

import java.util.EnumMap;
import java.util.Map;

/**
 * The mean prompt sizes of a service, by lane. They serve as estimates for requests of which only the number is known.
 */
public final class PromptSizes {

    /** The weight of each prompt in the moving average, which thus covers about twenty prompts. */
    private static final double SMOOTHING_FACTOR = 0.05;

    private final Map<Lane, Double> meanTokens = new EnumMap<>(Lane.class);
    private final Map<Lane, Double> meanUnreadTokens = new EnumMap<>(Lane.class);

    /**
     * Records a prompt.
     *
     * @param lane the lane of its request
     * @param tokens its size, in tokens
     * @param unreadTokens the tokens that its worker has to read (prefill): those of the segments that it has not
     *     cached
     */
    public void observe(Lane lane, long tokens, long unreadTokens) {
        observe(meanTokens, lane, tokens);
        observe(meanUnreadTokens, lane, unreadTokens);
    }

    private static void observe(Map<Lane, Double> means, Lane lane, long tokens) {
        means.merge(lane, (double) tokens, (mean, size) -> mean + SMOOTHING_FACTOR * (size - mean));
    }

    /**
     * Returns the mean number of prompt tokens that a worker has to read.
     *
     * @param lane the lane
     * @return tokens; 0 before the first prompt
     */
    public double meanUnreadTokens(Lane lane) {
        return meanUnreadTokens.getOrDefault(lane, 0.0);
    }

    /**
     * Returns the mean prompt size.
     *
     * @param lane the lane
     * @return tokens; 0 before the first prompt
     */
    public double meanTokens(Lane lane) {
        return meanTokens.getOrDefault(lane, 0.0);
    }
}
