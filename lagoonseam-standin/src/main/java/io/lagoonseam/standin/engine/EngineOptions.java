package io.lagoonseam.standin.engine;

import java.util.List;

/** How an engine behaves. */
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
     * Starts from an engine on any free port of the loopback address.
     *
     * @return a builder
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
         * Sets where to listen.
         *
         * @param newHost the address
         * @param newPort the port, or 0 for any free one
         * @return this builder
         */
        public Builder listen(String newHost, int newPort) {
            this.host = newHost;
            this.port = newPort;
            return this;
        }

        /**
         * Sets the seed of random faults.
         *
         * @param value the seed
         * @return this builder
         */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /**
         * Sets the models that are loaded at the start.
         *
         * @param value names, each with an optional version behind {@code @}
         * @return this builder
         */
        public Builder models(List<String> value) {
            this.models = List.copyOf(value);
            return this;
        }

        /**
         * Sets the most streams that run at once.
         *
         * @param value streams
         * @return this builder
         */
        public Builder maxBatch(int value) {
            this.maxBatch = value;
            return this;
        }

        /**
         * Sets the time of one step, in which each running stream gets a token.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder stepMillis(long value) {
            this.stepMillis = value;
            return this;
        }

        /**
         * Sets the prompt tokens that are processed in one step.
         *
         * @param value tokens
         * @return this builder
         */
        public Builder prefillTokensPerStep(int value) {
            this.prefillTokensPerStep = value;
            return this;
        }

        /**
         * Sets the memory of the prefix cache.
         *
         * @param value blocks of 64 characters
         * @return this builder
         */
        public Builder cacheBlocks(int value) {
            this.cacheBlocks = value;
            return this;
        }

        /**
         * Sets whether orders with an old fencing number are refused.
         *
         * @param value true to refuse them
         * @return this builder
         */
        public Builder checksFencing(boolean value) {
            this.checksFencing = value;
            return this;
        }

        /**
         * Sets the weight store that models are loaded from.
         *
         * @param value a URL, or empty to load at once
         * @return this builder
         */
        public Builder weightStoreUrl(String value) {
            this.weightStoreUrl = value;
            return this;
        }

        /**
         * Builds the options.
         *
         * @return the options
         */
        public EngineOptions build() {
            return new EngineOptions(this);
        }
    }
}
