package io.lagoonseam.wire;

/**
 * The numbers of message types. Numbers are never reused: 1 to 19 membership, 20 to 29 operations, 30 to 39
 * configuration, 40 to 49 limits, 50 to 59 routing, 60 to 69 retired with placement, 70 to 79 forwarding.
 */
public final class MessageTypes {

    /** Upstreams that are leaving, as one node read or heard. */
    public static final int UPSTREAM_SIGNS = 5;

    /** Asks the owner of a journal shard: {@link OperationMessageCodec}. */
    public static final int OPERATION = 20;

    /** Tells that a generation is in force at the sender: {@link ConfigurationMessages.Announcement}. */
    public static final int CONFIGURATION_ANNOUNCEMENT = 30;

    /** Asks for what is missing: {@link ConfigurationMessages.Pull}, answered by a delta. */
    public static final int CONFIGURATION_PULL = 31;

    /** Asks for parts by digest: {@link ConfigurationMessages.PartsRequest}, answered by parts. */
    public static final int CONFIGURATION_PARTS = 32;

    /** Reports the generation in force to a relay: {@link ConfigurationMessages.Report}, answered by its view. */
    public static final int CONFIGURATION_REPORT = 33;

    /** Demands on the limits of workspaces, answered by shares. */
    public static final int LIMIT_SHARES = 40;

    /** Asks the home of some workers for shares of their capacity: {@link RoutingMessages.Demand}. */
    public static final int CAPACITY_DEMAND = 50;

    /** Tells what a node has in flight and knows: {@link ForwardMessages.State}, answered by the like. */
    public static final int FORWARD_STATE = 70;

    /** Asks for a copy of what a node knows, answered by {@link ForwardMessages.Snapshot}. */
    public static final int FORWARD_PULL = 71;

    private MessageTypes() {}
}
