package io.lagoonseam.bench.traffic;

import java.util.List;

/**
 * The traffic of one request class.
 *
 * @param requestClass the class
 * @param requestsPerSecond the mean rate of arrivals
 * @param keys bearer keys, of which each request takes one
 * @param model the model, or empty for a plain service
 * @param path the path, for a plain service
 * @param promptChars the length of prompts
 * @param maxTokens the limit of answers
 * @param keyed whether requests carry an idempotency key
 * @param burst the time in which the class sends more
 */
public record ClassProfile(
        String requestClass,
        double requestsPerSecond,
        List<String> keys,
        String model,
        String path,
        int promptChars,
        int maxTokens,
        boolean keyed,
        RateBurst burst) {

    /** Copies the list. */
    public ClassProfile {
        keys = List.copyOf(keys);
    }

    /**
     * Creates traffic at a constant rate.
     *
     * @param requestClass the class
     * @param requestsPerSecond the mean rate of arrivals
     * @param keys bearer keys, of which each request takes one
     * @param model the model, or empty for a plain service
     * @param path the path, for a plain service
     * @param promptChars the length of prompts
     * @param maxTokens the limit of answers
     * @param keyed whether requests carry an idempotency key
     */
    public ClassProfile(
            String requestClass,
            double requestsPerSecond,
            List<String> keys,
            String model,
            String path,
            int promptChars,
            int maxTokens,
            boolean keyed) {
        this(requestClass, requestsPerSecond, keys, model, path, promptChars, maxTokens, keyed, RateBurst.NONE);
    }

    /**
     * Returns whether the class goes to model engines.
     *
     * @return false for a plain service
     */
    public boolean generates() {
        return !model.isEmpty();
    }
}
