package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.WorkerLoad;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The status and the parsed header section of a worker's response.
 *
 * @param status the HTTP status code
 * @param requestId the request id that the response echoes, empty if it has none
 * @param genuine whether the response carries the worker's seal header; a success status without the seal does not come
 *     from the worker
 * @param notRun whether the response proves that the request has not run
 * @param wrongWorker whether another worker than the addressed one responded
 * @param load the load that the worker reports in the response, empty if it reports none
 * @param keepAliveMillis how long the worker keeps an idle connection open, in milliseconds; -1 if not stated
 * @param closesConnection whether the worker closes the connection after this response
 * @param selfDelimited whether the end of the body is determined by its length, chunked encoding or status, and not by
 *     the end of the connection
 * @param eventStream whether the body is a stream of server-sent events
 * @param leaving whether the worker announces that it is leaving
 * @param retryAfterMillis the time for which the worker asks for no new requests, in milliseconds; 0 if not stated
 * @param limitPerSecond the number of requests per second that the worker accepts from all nodes together, empty if the
 *     response names no limit
 * @param malformedHeader the name of a header section field that was ignored since it is malformed, empty if none
 */
public record UpstreamResponseHeaders(
        int status,
        String requestId,
        boolean genuine,
        boolean notRun,
        boolean wrongWorker,
        Optional<WorkerLoad> load,
        long keepAliveMillis,
        boolean closesConnection,
        boolean selfDelimited,
        boolean eventStream,
        boolean leaving,
        long retryAfterMillis,
        OptionalDouble limitPerSecond,
        String malformedHeader) {

    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    /**
     * Returns whether the status reports a success.
     *
     * @return true for 200 to 299
     */
    public boolean succeeded() {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }
}
