package io.lagoonseam.core.membership;

/**
 * Source of a number that is piggybacked on every membership message within a data centre, such as the configuration
 * generation.
 */
public interface PiggybackSource {

    /** The key of the configuration generation in force. */
    int CONFIGURATION_GENERATION = 1;
    /** The key of the revision of the known leaving upstreams. */
    int LEAVING_UPSTREAMS_REVISION = 2;

    /**
     * Returns the key of the number.
     *
     * @return a key that no other source of the node uses
     */
    int key();

    /**
     * Returns the number to send.
     *
     * @return the current value
     */
    long value();

    /**
     * Called with the number received from another node. Runs off the event loop, without any lock held.
     *
     * @param senderId the id of the sending node
     * @param value the received value
     */
    void onReceived(String senderId, long value);
}
