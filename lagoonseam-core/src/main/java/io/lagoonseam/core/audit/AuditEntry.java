package io.lagoonseam.core.audit;

/**
 * One event of the audit trail.
 *
 * @param number its place in this node's sequence, from 1
 * @param atMillis when, in milliseconds since the epoch
 * @param code the event
 * @param detail its cause and values, in words
 */
public record AuditEntry(long number, long atMillis, EventCode code, String detail) {}
