package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.WorkerLoad;
import java.util.Optional;

/**
 * The head of a worker's answer.
 *
 * @param status the HTTP status
 * @param requestId the id that it echoes, empty if it names none
 * @param genuine whether it bears the worker's mark, without which a success is not the worker's
 * @param notRun whether it proves that the request has not run
 * @param wrongWorker whether another worker than the one that was meant has answered
 * @param load what the worker tells of its load, if it does
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
        Optional<WorkerLoad> load,
        long keepAliveMillis,
        boolean closing,
        boolean sized) {}
