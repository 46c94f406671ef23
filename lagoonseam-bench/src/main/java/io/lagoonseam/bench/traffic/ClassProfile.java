package io.lagoonseam.bench.traffic;

import java.util.List;

/**
 * The traffic that is generated for one request class.
 *
 * @param requestClass the name of the class
 * @param requestsPerSecond the mean arrival rate outside the burst, in requests per second
 * @param keys the API keys, sent as bearer tokens; each request uses a random one
 * @param model the name of the model, or empty for a plain service
 * @param path the path of requests to a plain service; not used for a model
 * @param promptChars the minimum length of prompts, in characters
 * @param maxTokens the maximum length of answers, in tokens; {@code Integer.MAX_VALUE} for no limit
 * @param keyed whether requests carry an idempotency key
 * @param burst the interval with a different arrival rate
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

    /** Copies the list of keys. */
    public ClassProfile {
        keys = List.copyOf(keys);
    }

    /**
     * Creates traffic at a constant rate.
     *
     * @param requestClass the name of the class
     * @param requestsPerSecond the mean arrival rate in requests per second
     * @param keys the API keys, sent as bearer tokens; each request uses a random one
     * @param model the name of the model, or empty for a plain service
     * @param path the path of requests to a plain service; not used for a model
     * @param promptChars the minimum length of prompts, in characters
     * @param maxTokens the maximum length of answers, in tokens; {@code Integer.MAX_VALUE} for no limit
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
     * Returns whether the requests of the class go to a model engine.
     *
     * @return false if they go to a plain service
     */
    public boolean usesModelEngine() {
        return !model.isEmpty();
    }
}
