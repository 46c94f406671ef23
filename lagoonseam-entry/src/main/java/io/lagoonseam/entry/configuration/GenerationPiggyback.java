package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.membership.PiggybackSource;

/** Lets the generation in force ride on every probe between nodes. */
public final class GenerationPiggyback implements PiggybackSource {

    private final ConfigurationFollower follower;

    /**
     * Creates a source.
     *
     * @param follower what keeps the generation in force
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
    public void heard(String senderId, long value) {
        if (value > follower.generation()) {
            follower.heard(senderId, value);
        }
    }
}
