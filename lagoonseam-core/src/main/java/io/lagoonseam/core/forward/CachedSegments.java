package io.lagoonseam.core.forward;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The prefix segments that a worker is presumed to have cached, based on the requests of this node and its peers. */
public final class CachedSegments {

    /**
     * How long a segment is presumed to stay cached after its last use, in milliseconds: in the known deployments,
     * every prefix is used several times within it, and the KV caches of the workers hold all prefixes.
     */
    private static final long RETENTION_MILLIS = 30_000;

    /** How long a segment may be read, in milliseconds: longer than the longest prompts take. */
    private static final long MAX_READING_MILLIS = 1_500;

    /** The maximum number of segments tracked per worker: more than a worker's KV cache holds. */
    private static final int MAX_SEGMENTS = 4_096;

    private final Map<Long, Long> lastUsedMillis = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            boolean evict = size() > MAX_SEGMENTS;
            if (evict) {
                read.remove(eldest.getKey());
            }
            return evict;
        }
    };

    /** The segments of {@link #lastUsedMillis} that have been read, not only requested. */
    private final Set<Long> read = new HashSet<>();

    private long allCachedUntilMillis = Long.MIN_VALUE;

    /**
     * Presumes that all segments are cached until the given time. A restarted node does not know which segments the
     * workers have cached. If it presumed none, it would send requests away from the workers that have them cached.
     *
     * @param untilMillis the end of this period, in milliseconds
     */
    public void presumeAllCached(long untilMillis) {
        allCachedUntilMillis = untilMillis;
    }

    /**
     * Records the use of a segment.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param nowMillis the current time, in milliseconds
     */
    public void recordUse(long prefixHash, long nowMillis) {
        lastUsedMillis.put(prefixHash, nowMillis);
    }

    /**
     * Records that a segment has been read: a request with it has had its first event.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param nowMillis the current time, in milliseconds
     */
    public void recordRead(long prefixHash, long nowMillis) {
        recordUse(prefixHash, nowMillis);
        read.add(prefixHash);
    }

    /**
     * Returns whether a segment is presumed to be cached and has been read, so that other workers can copy it.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param nowMillis the current time, in milliseconds
     * @return false if the worker is only known to have been sent a request with the segment
     */
    public boolean hasRead(long prefixHash, long nowMillis) {
        return contains(prefixHash, nowMillis) && (nowMillis < allCachedUntilMillis || read.contains(prefixHash));
    }

    /**
     * Returns whether the worker is reading a segment: it has been sent a request with it lately, and not read it yet.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param nowMillis the current time, in milliseconds
     * @return false after {@link #MAX_READING_MILLIS}, since the request may have been cancelled
     */
    public boolean isBeingRead(long prefixHash, long nowMillis) {
        Long lastUsed = lastUsedMillis.get(prefixHash);
        return lastUsed != null && nowMillis - lastUsed <= MAX_READING_MILLIS && !read.contains(prefixHash);
    }

    /**
     * Returns whether a segment is presumed to be cached, or will be before a request that is sent now is read.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param nowMillis the current time, in milliseconds
     * @return true if the segment was used within the last 30 s or all segments are still presumed to be cached
     */
    public boolean contains(long prefixHash, long nowMillis) {
        if (nowMillis < allCachedUntilMillis) {
            return true;
        }
        Long lastUsed = lastUsedMillis.get(prefixHash);
        return lastUsed != null && nowMillis - lastUsed <= RETENTION_MILLIS;
    }
}
