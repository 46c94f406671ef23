package io.lagoonseam.core.admission;

import io.lagoonseam.core.verdict.Refusal;

/**
 * A queued request that gets its final answer without being run.
 *
 * @param ticket the request
 * @param refusal its final answer
 */
public record ShedTicket(Ticket ticket, Refusal refusal) {}
