package io.lagoonseam.core.ratelimit;

/**
 * Identifies one lifetime of a worker. A restarted worker may keep its id, but knows nothing of a limit that it named
 * before.
 *
 * @param service the name of its service
 * @param id the id of the worker
 * @param startMillis its start time, in Unix milliseconds
 */
public record WorkerIncarnation(String service, String id, long startMillis) {}
