package io.lagoonseam.core.admission.internal;

import io.lagoonseam.core.admission.Ticket;

/**
 * A queued request.
 *
 * @param ticket the request
 * @param number its place by arrival; requests that were begun have negative ones
 * @param cost the expected tokens of its answer
 */
public record QueueEntry(Ticket ticket, long number, double cost) {}
