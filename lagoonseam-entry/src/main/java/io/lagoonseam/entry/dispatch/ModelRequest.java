package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.vertx.core.Context;

/**
 * A model request of a caller.
 *
 * @param ticket the admission ticket of the request
 * @param upstreamRequest the request to send to a model engine
 * @param context the caller's Vert.x context, on which the sink is called
 * @param sink writes the answer
 */
public record ModelRequest(Ticket ticket, GenerateRequest upstreamRequest, Context context, AnswerSink sink) {}
