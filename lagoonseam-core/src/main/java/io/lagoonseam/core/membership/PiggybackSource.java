package io.lagoonseam.core.membership;

/** A number that rides on every probe and every answer within a data centre, such as a configuration generation. */
public interface PiggybackSource {

    /** The key of the configuration generation in force. */
    int CONFIGURATION_GENERATION = 1;
    /** The key of the revision of what is known of leaving upstreams. */
    int UPSTREAM_SIGNS_REVISION = 2;

    /**
     * Returns the key of the number.
     *
     * @return a key that no other source of the node uses
     */
    int key();

    /**
     * Returns the number to tell.
     *
     * @return the present value
     */
    long value();

    /**
     * Hears the number of another node. Runs on a decision thread without any lock held.
     *
     * @param senderId the node that told it
     * @param value its value
     */
    void heard(String senderId, long value);
}
