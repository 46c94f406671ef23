package io.lagoonseam.entry.forward;

/**
 * The head of a worker's answer.
 *
 * @param status the HTTP status
 * @param requestId the id that it echoes, empty if it names none
 * @param genuine whether it bears the worker's mark, without which a success is not the worker's
 * @param notRun whether it proves that the request has not run
 * @param wrongWorker whether another worker than the one that was meant has answered
 * @param requestsThere running and waiting requests at the worker, -1 if it does not say
 * @param keepAliveMillis how long the worker keeps the connection, -1 if it does not say
 * @param closing whether the worker closes the connection after this answer
 * @param sized whether the end of the body can be told from the end of the connection
 */
public record AnswerHead(
        int status,
        String requestId,
        boolean genuine,
        boolean notRun,
        boolean wrongWorker,
        int requestsThere,
        long keepAliveMillis,
        boolean closing,
        boolean sized) {}
