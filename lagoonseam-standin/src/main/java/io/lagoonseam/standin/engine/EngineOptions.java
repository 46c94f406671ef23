package io.lagoonseam.standin.engine;

import java.util.List;

/** Configures a {@link ModelEngineStandIn}. */
public final class EngineOptions {

    private final String host;
    private final int port;
    private final long seed;
    private final List<String> models;
    private final int maxBatch;
    private final long stepMillis;
    private final int prefillTokensPerStep;
    private final int cacheBlocks;
    private final boolean checksFencing;
    private final String weightStoreUrl;

    private EngineOptions(Builder builder) {
        this.host = builder.host;
        this.port = builder.port;
        this.seed = builder.seed;
        this.models = List.copyOf(builder.models);
        this.maxBatch = builder.maxBatch;
        this.stepMillis = builder.stepMillis;
        this.prefillTokensPerStep = builder.prefillTokensPerStep;
        this.cacheBlocks = builder.cacheBlocks;
        this.checksFencing = builder.checksFencing;
        this.weightStoreUrl = builder.weightStoreUrl;
    }

    /**
     * Creates a builder whose default is an engine on any free port of the loopback address.
     *
     * @return a new builder
     */
    public static Builder builder() {
        return new Builder();
    }

    String host() {
        return host;
    }

    int port() {
        return port;
    }

    long seed() {
        return seed;
    }

    List<String> models() {
        return models;
    }

    int maxBatch() {
        return maxBatch;
    }

    long stepMillis() {
        return stepMillis;
    }

    int prefillTokensPerStep() {
        return prefillTokensPerStep;
    }

    int cacheBlocks() {
        return cacheBlocks;
    }

    boolean checksFencing() {
        return checksFencing;
    }

    String weightStoreUrl() {
        return weightStoreUrl;
    }

    /** Builds {@link EngineOptions}. */
    public static final class Builder {

        private String host = "127.0.0.1";
        private int port;
        private long seed = 1;
        private List<String> models = List.of("care-1");
        private int maxBatch = 16;
        private long stepMillis = 10;
        private int prefillTokensPerStep = 512;
        private int cacheBlocks = 4_096;
        private boolean checksFencing = true;
        private String weightStoreUrl = "";

        private Builder() {}

        /**
         * Sets the address to listen on.
         *
         * @param newHost the IP address or host name
         * @param newPort the port, or 0 for any free port
         * @return this builder
         */
        public Builder listen(String newHost, int newPort) {
            this.host = newHost;
            this.port = newPort;
            return this;
        }

        /**
         * Sets the seed of the random faults.
         *
         * @param value the seed, 1 by default
         * @return this builder
         */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /**
         * Sets the models that are loaded at the start.
         *
         * @param value the model names, each optionally followed by {@code @} and a version
         * @return this builder
         */
        public Builder models(List<String> value) {
            this.models = List.copyOf(value);
            return this;
        }

        /**
         * Sets the maximum number of streams that run concurrently.
         *
         * @param value the number of streams, 16 by default
         * @return this builder
         */
        public Builder maxBatch(int value) {
            this.maxBatch = value;
            return this;
        }

        /**
         * Sets the duration of one step, in which each running stream generates a token.
         *
         * @param value the duration in milliseconds, 10 by default
         * @return this builder
         */
        public Builder stepMillis(long value) {
            this.stepMillis = value;
            return this;
        }

        /**
         * Sets the maximum number of prompt tokens that are processed in one step.
         *
         * @param value the number of tokens, 512 by default
         * @return this builder
         */
        public Builder prefillTokensPerStep(int value) {
            this.prefillTokensPerStep = value;
            return this;
        }

        /**
         * Sets the capacity of the prefix cache.
         *
         * @param value the number of blocks of 64 characters, 4096 by default
         * @return this builder
         */
        public Builder cacheBlocks(int value) {
            this.cacheBlocks = value;
            return this;
        }

        /**
         * Sets whether orders with an outdated fencing token are refused.
         *
         * @param value true to refuse them, the default
         * @return this builder
         */
        public Builder checksFencing(boolean value) {
            this.checksFencing = value;
            return this;
        }

        /**
         * Sets the weight store that models are loaded from.
         *
         * @param value the base URL, or an empty string to load models without delay, the default
         * @return this builder
         */
        public Builder weightStoreUrl(String value) {
            this.weightStoreUrl = value;
            return this;
        }

        /**
         * Creates the options.
         *
         * @return new options with the values of this builder
         */
        public EngineOptions build() {
            return new EngineOptions(this);
        }
    }
}
