package io.lagoonseam.core.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/** The prefix segments that a worker is presumed to have cached, based on the requests of this node and its peers. */
public final class KeptParts {

    /**
     * How long a segment is presumed to stay cached after its last use, in milliseconds: several passes over all prompt
     * subjects of the known deployments, whose workers have enough memory for all of them.
     */
    private static final long RETENTION_MILLIS = 30_000;

    /** The maximum number of segments tracked per worker: more than a worker's memory holds. */
    private static final int MAX_SEGMENTS = 4_096;

    private final Map<Long, Long> lastUsedMillis = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_SEGMENTS;
        }
    };

    private long assumedUntilMillis = Long.MIN_VALUE;

    /**
     * Presumes that all segments are cached until the given time. A restarted node does not know what the workers have
     * read. If it planned with whole prompts, it would send requests away from the workers that do have their segments
     * cached.
     *
     * @param untilMillis the end of the assumption, in milliseconds
     */
    public void assumeAll(long untilMillis) {
        assumedUntilMillis = untilMillis;
    }

    /**
     * Records the use of a segment.
     *
     * @param affinity the hash of the segment
     * @param nowMillis the current time, in milliseconds
     */
    public void used(long affinity, long nowMillis) {
        lastUsedMillis.put(affinity, nowMillis);
    }

    /**
     * Returns whether a segment is presumed to be cached.
     *
     * @param affinity the hash of the segment
     * @param nowMillis the current time, in milliseconds
     * @return true if the segment was used within the last 30 s or all segments are presumed to be cached
     */
    public boolean contains(long affinity, long nowMillis) {
        if (nowMillis < assumedUntilMillis) {
            return true;
        }
        Long lastUsed = lastUsedMillis.get(affinity);
        return lastUsed != null && nowMillis - lastUsed <= RETENTION_MILLIS;
    }
}
