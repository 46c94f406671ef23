package io.lagoonseam.core.ratelimit;

/**
 * A node's question for one permit.
 *
 * @param worker the worker to which the node wants to send a request
 * @param node the id of the node
 * @param number a number that the node has given to no other question
 * @param priority the priority of the request; 0 is the most urgent
 * @param expiresMillis how long the question may wait, on the clock of the issuer, in milliseconds
 */
public record PermitAsk(WorkerIncarnation worker, String node, long number, int priority, long expiresMillis) {}
