package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.vertx.core.Context;

/**
 * A caller's generating request.
 *
 * @param ticket the request as admission sees it
 * @param upstreamRequest the request as it goes to an engine
 * @param context the caller's context
 * @param sink where the answer goes
 */
public record ModelRequest(Ticket ticket, GenerateRequest upstreamRequest, Context context, AnswerSink sink) {}
