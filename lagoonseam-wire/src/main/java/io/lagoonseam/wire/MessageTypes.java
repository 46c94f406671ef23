package io.lagoonseam.wire;

/**
 * The numbers of message types. Numbers are never reused: 1 to 19 are for membership, 20 to 29 for operations, 30 to 39
 * for configuration, 40 to 49 for limits, 50 to 59 for routing, 70 to 79 for forwarding, 80 to 89 for the quarantine
 * and 90 to 99 for detours. 60 to 69 were used by placement, which no longer exists.
 */
public final class MessageTypes {

    /**
     * Sends a view of the leaving upstreams, encoded by {@link LeavingUpstreamsCodec}; answered by an empty message.
     */
    public static final int LEAVING_UPSTREAMS = 5;

    /** Sends an operation message to the owner of a journal shard, encoded by {@link OperationMessageCodec}. */
    public static final int OPERATION = 20;

    /** Announces the generation in force at the sender: {@link ConfigurationMessages.Announcement}. */
    public static final int CONFIGURATION_ANNOUNCEMENT = 30;

    /**
     * Requests newer generations: {@link ConfigurationMessages.Pull}, answered by {@link ConfigurationMessages.Delta}.
     */
    public static final int CONFIGURATION_PULL = 31;

    /** Requests parts: {@link ConfigurationMessages.PartsRequest}, answered by {@link ConfigurationMessages.Parts}. */
    public static final int CONFIGURATION_PARTS = 32;

    /**
     * Reports the generation in force to a relay: {@link ConfigurationMessages.Report}, answered by
     * {@link ConfigurationMessages.ReportAnswer}.
     */
    public static final int CONFIGURATION_REPORT = 33;

    /**
     * Requests shares of the limits of workspaces, answered by the shares; encoded by {@link MessagePackLimitCodec}.
     */
    public static final int LIMIT_SHARES = 40;

    /**
     * Requests shares of the capacity of workers from their home node: {@link RoutingMessages.Demand}, answered by
     * {@link RoutingMessages.Grants}.
     */
    public static final int CAPACITY_DEMAND = 50;

    /** Sends the state of a node: {@link ForwardMessages.State}, answered by the state of the receiver. */
    public static final int FORWARD_STATE = 70;

    /** Requests a copy of the store as the receiver has it, answered by {@link ForwardMessages.Snapshot}. */
    public static final int FORWARD_PULL = 71;

    /**
     * Asks the home of a service for workers and reports what became of earlier requests:
     * {@link PlacementMessages.Batch}.
     */
    public static final int PLACEMENT = 72;

    /**
     * Sends a home's decisions about queued requests: {@link PlacementMessages.Decisions}; answered by an empty
     * message.
     */
    public static final int PLACEMENT_DECISIONS = 73;

    /**
     * Asks for a permit to send a request to a worker with a rate limit: {@link PermitMessages.Ask}, answered by
     * {@link PermitMessages.Answer}.
     */
    public static final int PERMIT = 74;

    /** Tells what began streams: {@link StreamOriginMessages.Tell}, answered by an empty message. */
    public static final int STREAM_ORIGIN = 75;

    /** Asks what began a stream: {@link StreamOriginMessages.Ask}, answered by {@link StreamOriginMessages.Answer}. */
    public static final int STREAM_ORIGIN_ASK = 76;

    /**
     * Reports crashes to the nodes that count them: {@link QuarantineMessages.Histories}; answered by an empty message.
     */
    public static final int CRASH_REPORT = 80;

    /** Tells what is in quarantine: {@link QuarantineMessages.Histories}; answered by an empty message. */
    public static final int QUARANTINE = 81;

    /**
     * Asks for what is in quarantine: {@link QuarantineMessages.Sync}, answered by
     * {@link QuarantineMessages.Histories}.
     */
    public static final int QUARANTINE_SYNC = 82;

    /** Asks for whole answers: {@link QuarantineMessages.Ask}, answered by {@link QuarantineMessages.Ages}. */
    public static final int WHOLE_ANSWERS_ASK = 83;

    /**
     * Asks for a request to be let through: {@link QuarantineMessages.Try}, answered by
     * {@link QuarantineMessages.Decision}.
     */
    public static final int QUARANTINE_TRY = 84;

    /**
     * Asks whether a node reaches the workers of a service: {@link DetourMessages.Ask}, answered by
     * {@link DetourMessages.Answer}.
     */
    public static final int REACH_ASK = 90;

    /** Tells that connections to the store have gone silent: an empty message, answered by one. */
    public static final int STORE_SILENT = 91;

    /**
     * Asks for the requests that a node has counted: {@link UsageMessages.Ask}, answered by
     * {@link UsageMessages.Answer}.
     */
    public static final int USAGE_ASK = 92;

    private MessageTypes() {}
}
