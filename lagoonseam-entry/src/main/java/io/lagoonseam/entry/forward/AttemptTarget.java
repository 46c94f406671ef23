package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptResult;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.wire.DetourMessages.Outcome;
import java.util.Optional;
import java.util.OptionalDouble;

/** Where one attempt of a request goes, and what has to hear of its progress. */
interface AttemptTarget {

    /** Returns the id under which the log names the target. */
    String name();

    /** Returns the connections to the target, empty if it has left. */
    Optional<WorkerConnections> connections();

    /** The attempt is about to begin. */
    void starting();

    /** A connection to the target is being opened. */
    void onConnecting();

    /** A connection to the target has been opened. */
    void onConnected();

    /** Returns whether the request may still be sent there. */
    boolean maySend();

    /** Returns whether it is a worker, and not a node that sends the request on to one. */
    boolean isWorker();

    /** Returns what a node through which the request was sent has told about it, empty if it is a worker. */
    Optional<Outcome> told();

    /**
     * Returns the time that the first events are expected to take, in milliseconds; empty if it is not for this node to
     * watch that.
     */
    OptionalDouble expectedMillis();

    /**
     * The header section of an answer has been received.
     *
     * @param received the parsed headers
     * @param told what a node through which the request was sent tells about it, empty if it tells nothing
     * @param sentMillis the time at which the request was sent, in milliseconds
     */
    void onHeaders(UpstreamResponseHeaders received, Optional<Outcome> told, long sentMillis);

    /** A part of the body of an answer has been received. */
    void onBody();

    /** Returns whether the target has not shown yet that it has read the prompt. */
    boolean readsPrompt();

    /**
     * The first event of the answer, or of the rest of it, has been received.
     *
     * @param afterMillis the time since the request was sent, in milliseconds
     */
    void onFirstEvent(long afterMillis);

    /**
     * Called when the request has begun to run. What another node has sent is counted there.
     *
     * @param workspace its workspace, empty if it has none
     * @param agoMillis how long ago that was, in milliseconds
     */
    void began(String workspace, long agoMillis);

    /** Returns the software version that sends the answer, empty if it is not known. */
    String softwareVersion();

    /**
     * Returns whether the rest of a stream may come from another target.
     *
     * @param version the software version that began the stream, empty before the first event
     */
    boolean mayGoOnElsewhere(String version);

    /**
     * The target has sent nothing since a point in time, in milliseconds, so that its other connections are in doubt.
     */
    void onSilence(long sinceMillis);

    /** Records the outcome of an attempt that got a complete answer. */
    void observe(OutlierDetector.Outcome outcome);

    /** Records that the attempt has failed. */
    void observeFailure(AttemptResult result);

    /** The attempt has ended. */
    void ended();
}
