package io.lagoonseam.entry.forward;

import io.vertx.core.MultiMap;

/** Reads and writes the header sections of callers and workers. */
public interface ForwardProtocol {

    /**
     * Parses a caller's headers.
     *
     * @param headers the headers
     * @return the parsed fields; malformed fields are treated as absent
     */
    CallerRequestHeaders parseCallerHeaders(MultiMap headers);

    /**
     * Creates the headers of a request to a worker.
     *
     * @param callerHeaders the caller's headers
     * @param added the fields that this node adds
     * @return the caller's headers without those that concern only the caller's connection and those that only this
     *     node may set, plus the added fields
     */
    MultiMap upstreamHeaders(MultiMap callerHeaders, UpstreamRequestHeaders added);

    /**
     * Creates the headers of a request that another node sends for this one.
     *
     * @param callerHeaders the caller's headers
     * @return the caller's headers without those that concern only the caller's connection, and without its API key
     */
    MultiMap peerHeaders(MultiMap callerHeaders);

    /**
     * Parses the status and headers of a worker's response.
     *
     * @param status the HTTP status code
     * @param headers the headers
     * @return the parsed fields
     */
    UpstreamResponseHeaders parseUpstreamResponse(int status, MultiMap headers);

    /**
     * Returns the header in which workers echo the id of a request.
     *
     * @return the name of the header
     */
    String requestIdHeader();

    /**
     * Selects the headers of a worker's response that are forwarded to the caller.
     *
     * @param workerHeaders the worker's headers
     * @return the headers for the caller
     */
    MultiMap responseHeaders(MultiMap workerHeaders);

    /**
     * Adds the request id and the retry delay to a response that this node generates itself.
     *
     * @param headers the headers of the response
     * @param requestId the caller's id of the request, empty if it sent none
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds; 0 to state none
     */
    void addNodeHeaders(MultiMap headers, String requestId, long retryAfterMillis);
}
