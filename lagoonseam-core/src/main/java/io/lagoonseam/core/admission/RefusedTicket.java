package io.lagoonseam.core.admission;

import io.lagoonseam.core.verdict.Refusal;

/**
 * A request that was removed from its queue without being started, with the refusal sent to its caller.
 *
 * @param ticket the removed request
 * @param refusal the final answer to the caller
 */
public record RefusedTicket(Ticket ticket, Refusal refusal) {}
