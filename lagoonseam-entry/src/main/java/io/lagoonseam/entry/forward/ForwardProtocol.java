package io.lagoonseam.entry.forward;

import io.vertx.core.MultiMap;

/** Reads and writes the headers of callers and workers. */
public interface ForwardProtocol {

    /**
     * Reads a caller's headers.
     *
     * @param headers the headers
     * @return what they say; fields that cannot be read are as if absent
     */
    CallerHead caller(MultiMap headers);

    /**
     * Makes the headers of a request to a worker.
     *
     * @param callerHeaders the caller's headers
     * @param head what this node adds
     * @return the caller's headers, without those of the connection and those that are this node's to set
     */
    MultiMap upstreamHeaders(MultiMap callerHeaders, UpstreamHead head);

    /**
     * Reads the head of a worker's answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return what they say
     */
    AnswerHead answer(int status, MultiMap headers);

    /**
     * Returns the header in which workers echo the id of a request.
     *
     * @return its name
     */
    String requestIdHeader();

    /**
     * Makes the headers of an answer to the caller.
     *
     * @param answerHeaders the worker's headers
     * @return those that concern the caller
     */
    MultiMap callerHeaders(MultiMap answerHeaders);

    /**
     * Names the request in an answer of this node's own and says when to come back.
     *
     * @param headers the headers of the answer
     * @param requestId the caller's id of the request, empty if it named none
     * @param retryAfterMillis when to come back, 0 for no hint
     */
    void own(MultiMap headers, String requestId, long retryAfterMillis);
}
