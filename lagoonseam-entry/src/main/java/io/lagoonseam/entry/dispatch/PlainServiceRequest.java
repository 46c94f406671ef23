package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.entry.upstream.PlainRequest;
import io.vertx.core.Context;
import java.util.Optional;

/**
 * A caller's request to a plain service.
 *
 * @param ticket the admission ticket of the request
 * @param upstreamRequest the request to send to the upstream
 * @param operation the key of the operation, or empty if the request is idempotent or has no key
 * @param statusPath the path under which the service reports by key whether an operation ran, or empty if it cannot
 * @param context the caller's Vert.x context, on which the sink is called
 * @param sink writes the answer
 */
public record PlainServiceRequest(
        Ticket ticket,
        PlainRequest upstreamRequest,
        Optional<OperationKey> operation,
        Optional<String> statusPath,
        Context context,
        AnswerSink sink) {}
