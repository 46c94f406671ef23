package io.lagoonseam.core.admission.internal;

import io.lagoonseam.core.admission.Ticket;

/**
 * A queued request with its sequence number and expected cost.
 *
 * @param ticket the request
 * @param number its sequence number by arrival; negative for requests of which an attempt was sent before, so that they
 *     come first
 * @param cost the expected length of its answer in tokens
 */
public record QueueEntry(Ticket ticket, long number, double cost) {}
