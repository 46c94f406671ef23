package io.lagoonseam.core.forward;

import java.util.HashSet;
import java.util.Iterator;
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

    /** The segments, the least recently used first. */
    private final Map<Long, Use> uses = new LinkedHashMap<>();

    /** The segments of {@link #uses} that have been read, not only requested. */
    private final Set<Long> read = new HashSet<>();

    private long tokens;
    private long lastUnshared = Long.MIN_VALUE;

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

    private record Use(long lastMillis, int tokens) {}

    /**
     * Records the use of a segment of unknown size.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param nowMillis the current time, in milliseconds
     */
    public void recordUse(long prefixHash, long nowMillis) {
        Use known = uses.get(prefixHash);
        recordUse(prefixHash, known == null ? 0 : known.tokens(), nowMillis);
    }

    /**
     * Records the use of a segment.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param prefixTokens its size, in tokens
     * @param nowMillis the current time, in milliseconds
     */
    public void recordUse(long prefixHash, int prefixTokens, long nowMillis) {
        Use before = uses.remove(prefixHash);
        uses.put(prefixHash, new Use(nowMillis, prefixTokens));
        tokens += prefixTokens - (before == null ? 0 : before.tokens());
        if (uses.size() > MAX_SEGMENTS) {
            evictEldest();
        }
    }

    /**
     * Records that an answer has ended: its part of the prompt that no other request shares, and what was generated,
     * stay in the memory of the worker like shared segments do.
     *
     * @param unsharedTokens their size, in tokens
     * @param nowMillis the current time, in milliseconds
     */
    public void recordUnshared(int unsharedTokens, long nowMillis) {
        lastUnshared++;
        recordUse(lastUnshared, unsharedTokens, nowMillis);
    }

    /**
     * Forgets the least recently used segments, which the worker has evicted to make room.
     *
     * @param roomTokens the memory of the worker that requests in flight leave, in tokens
     */
    public void evictBeyond(long roomTokens) {
        while (tokens > roomTokens && !uses.isEmpty()) {
            evictEldest();
        }
    }

    private void evictEldest() {
        Iterator<Map.Entry<Long, Use>> eldest = uses.entrySet().iterator();
        Map.Entry<Long, Use> evicted = eldest.next();
        tokens -= evicted.getValue().tokens();
        read.remove(evicted.getKey());
        eldest.remove();
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
        return usedWithin(MAX_READING_MILLIS, prefixHash, nowMillis) && !read.contains(prefixHash);
    }

    /**
     * Returns whether a segment is presumed to be cached, or will be before a request that is sent now is read.
     *
     * @param prefixHash the prefix hash of a prompt
     * @param nowMillis the current time, in milliseconds
     * @return true if the segment was used within the last 30 s or all segments are still presumed to be cached
     */
    public boolean contains(long prefixHash, long nowMillis) {
        return nowMillis < allCachedUntilMillis || usedWithin(RETENTION_MILLIS, prefixHash, nowMillis);
    }

    private boolean usedWithin(long millis, long prefixHash, long nowMillis) {
        Use use = uses.get(prefixHash);
        return use != null && nowMillis - use.lastMillis() <= millis;
    }
}
