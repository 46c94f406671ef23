package io.lagoonseam.core.audit;

/**
 * An event in the audit trail.
 *
 * @param number the sequence number of the entry at this node, from 1
 * @param atMillis the wall-clock time of the event, in milliseconds since the epoch
 * @param code the code of the event
 * @param detail the cause of the event and its values, as text
 */
public record AuditEntry(long number, long atMillis, EventCode code, String detail) {}
