package io.lagoonseam.core.ratelimit;

import io.lagoonseam.core.forward.UpstreamRecord;

/**
 * Identifies one lifetime of a worker. A restarted worker may keep its id, but knows nothing of a limit that it named
 * before.
 *
 * @param id the id of the worker
 * @param startMillis its start time, in Unix milliseconds
 */
public record WorkerIncarnation(String id, long startMillis) {

    /**
     * Returns the incarnation that a record describes.
     *
     * @param record the record
     * @return its id and start time
     */
    public static WorkerIncarnation of(UpstreamRecord record) {
        return new WorkerIncarnation(record.id(), record.startMillis());
    }
}
