package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.membership.PiggybackSource;

/** Piggybacks the generation in force on every membership probe between nodes. */
public final class GenerationPiggyback implements PiggybackSource {

    private final ConfigurationFollower follower;

    /**
     * Creates a source.
     *
     * @param follower the follower that holds the generation in force
     */
    public GenerationPiggyback(ConfigurationFollower follower) {
        this.follower = follower;
    }

    @Override
    public int key() {
        return CONFIGURATION_GENERATION;
    }

    @Override
    public long value() {
        return follower.generation();
    }

    @Override
    public void onReceived(String senderId, long value) {
        if (value > follower.generation()) {
            follower.recordGeneration(senderId, value);
        }
    }
}
