package io.lagoonseam.core.resume;

import io.lagoonseam.core.forward.UpstreamRecord;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Remembers which software versions the workers of each service have had. If a service has had only one for longer than
 * streams last, each stream began at that one. Not thread-safe.
 */
public final class VersionHistory {

    /** How long versions are remembered after their last worker is gone, in milliseconds. */
    private static final long MAX_WINDOW_MILLIS = 600_000;

    /** The longest time between two observations after which the versions in between are not known, in milliseconds. */
    private static final long MAX_GAP_MILLIS = 2_000;

    private final Map<String, Map<String, Long>> lastSeenMillis = new HashMap<>();
    private long sinceMillis = Long.MAX_VALUE;
    private long lastMillis = Long.MIN_VALUE;

    /**
     * The versions that a service has had in a time.
     *
     * @param complete whether they were observed for the whole time
     * @param versions the versions, an empty text for one that a worker does not state
     */
    public record Versions(boolean complete, Set<String> versions) {

        /** Makes an immutable copy of the set. */
        public Versions {
            versions = Set.copyOf(versions);
        }

        /**
         * Returns what this node and another one have observed together.
         *
         * @param other what the other node has observed
         * @return all versions, complete if one of them has observed the whole time
         */
        public Versions plus(Versions other) {
            Set<String> all = new TreeSet<>(versions);
            all.addAll(other.versions);
            return new Versions(complete || other.complete, all);
        }

        /**
         * Returns whether there was only one version, and which one.
         *
         * @return the version, empty if it is not known that there was only one
         */
        public String only() {
            return complete && versions.size() == 1 ? versions.iterator().next() : "";
        }
    }

    /**
     * Records the workers that are known, leaving ones included; called several times a second.
     *
     * @param workers their records
     * @param nowMillis the current time, in milliseconds
     */
    public void observe(Collection<UpstreamRecord> workers, long nowMillis) {
        if (sinceMillis == Long.MAX_VALUE || nowMillis - lastMillis > MAX_GAP_MILLIS) {
            sinceMillis = nowMillis;
        }
        lastMillis = nowMillis;
        for (UpstreamRecord worker : workers) {
            lastSeenMillis
                    .computeIfAbsent(worker.service(), service -> new HashMap<>())
                    .put(worker.softwareVersion(), nowMillis);
        }
        lastSeenMillis.values().forEach(seen -> seen.values().removeIf(at -> at < nowMillis - MAX_WINDOW_MILLIS));
        lastSeenMillis.values().removeIf(Map::isEmpty);
    }

    /**
     * Records that the workers' registrations could not be followed for some time and were then listed anew. If it was
     * long enough for workers to come and go, the versions before its end are not known.
     *
     * @param forMillis how long, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void notFollowed(long forMillis, long nowMillis) {
        if (forMillis > MAX_GAP_MILLIS) {
            sinceMillis = nowMillis;
        }
    }

    /**
     * Returns the versions that a service has had.
     *
     * @param service the name of the service
     * @param windowMillis how far to look back, in milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return the versions
     */
    public Versions versions(String service, long windowMillis, long nowMillis) {
        Set<String> versions = new TreeSet<>();
        lastSeenMillis.getOrDefault(service, Map.of()).forEach((version, at) -> {
            if (at >= nowMillis - windowMillis) {
                versions.add(version);
            }
        });
        boolean complete = windowMillis <= MAX_WINDOW_MILLIS && sinceMillis <= nowMillis - windowMillis;
        return new Versions(complete, versions);
    }
}
