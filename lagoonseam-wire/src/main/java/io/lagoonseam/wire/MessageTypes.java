package io.lagoonseam.wire;

/**
 * The numbers of message types. Numbers are never reused: 1 to 19 membership, 20 to 29 operations, 30 to 39
 * configuration, 40 to 49 limits, 50 to 59 routing, 60 to 69 placement.
 */
public final class MessageTypes {

    /** Upstreams that are leaving, as one node read or heard. */
    public static final int UPSTREAM_SIGNS = 5;

    private MessageTypes() {}
}
