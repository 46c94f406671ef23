package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.entry.upstream.PlainRequest;
import io.vertx.core.Context;
import java.util.Optional;

/**
 * A caller's request to a plain service.
 *
 * @param ticket the request as admission sees it
 * @param upstreamRequest the request as it goes to the upstream
 * @param operation the operation, if the request is non-idempotent and has a key
 * @param statusPath where the service tells by key whether an operation ran, if it can
 * @param context the caller's context
 * @param sink where the answer goes
 */
public record PlainServiceRequest(
        Ticket ticket,
        PlainRequest upstreamRequest,
        Optional<OperationKey> operation,
        Optional<String> statusPath,
        Context context,
        AnswerSink sink) {}
