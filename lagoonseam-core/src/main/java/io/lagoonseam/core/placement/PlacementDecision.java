package io.lagoonseam.core.placement;

/** What a home decides about a request. */
public sealed interface PlacementDecision
        permits PlacementDecision.Granted, PlacementDecision.Queued, PlacementDecision.Refused {

    /**
     * The request is to be sent to a worker now.
     *
     * @param workerId the id of the worker
     * @param unreadTokens the prompt tokens that the worker is expected to have to read
     * @param tokensAhead the unread prompt tokens of other requests at the worker
     * @param copyFromId the id of the worker to copy prefix segments from, empty for none
     * @param permitted whether the home holds a permit for the request, which a worker with a rate limit requires
     * @param reason a keyword for the log
     */
    record Granted(
            String workerId, long unreadTokens, long tokensAhead, String copyFromId, boolean permitted, String reason)
            implements PlacementDecision {}

    /** The request waits at the home until a later decision. */
    record Queued() implements PlacementDecision {}

    /**
     * The request cannot begin in time.
     *
     * @param backlogMillis the expected time until the work before it is done, in milliseconds
     * @param reason a keyword for the log
     */
    record Refused(long backlogMillis, String reason) implements PlacementDecision {}
}
