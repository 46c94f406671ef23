package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.Route;
import io.lagoonseam.core.resume.StreamKey;

/**
 * The properties of a request that are determined before it is forwarded.
 *
 * @param callerHeaders the evaluated header fields of the caller
 * @param route the route of the request
 * @param lane the latency lane at the service if this node chooses the worker
 * @param homeLane the latency lane at the service if its home chooses the worker
 * @param service the name of the service
 * @param workspace the workspace, empty for an anonymous request
 * @param stream identifies the stream if the route streams
 * @param softwareVersion the software version that began the stream, empty for a stream that begins
 * @param priority the priority of the workspace or, if that has none, of the route; 0 is the most urgent
 * @param rank the place of the request in the order of all; 0 is the most urgent
 */
record AdmittedRequest(
        CallerRequestHeaders callerHeaders,
        Route route,
        Lane lane,
        Lane homeLane,
        String service,
        String workspace,
        StreamKey stream,
        String softwareVersion,
        int priority,
        int rank) {

    /** Returns the tokens that its answer may have, 0 if unknown. */
    int answerTokens() {
        return route.kind().stream() ? callerHeaders.answerTokens() : 0;
    }
}
