package io.lagoonseam.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the known workers and whether they accept new requests. A worker that announces that it is leaving, or whose
 * record is removed while the store is available, gets no new requests from then on. A record that is removed during or
 * just after an outage of the store may only have expired, so its worker is kept for {@link #REREGISTRATION_MILLIS}.
 */
public final class UpstreamDirectory {

    /**
     * How long a record may be missing after an outage before its worker is removed, in milliseconds. Records that
     * expired during an outage are written again within 2 s of its end; a fifth is added for transmission.
     */
    public static final long REREGISTRATION_MILLIS = 2_400;

    /**
     * The maximum number of tombstones, which prevent a removed worker from being restored by an older copy of its
     * record that another node sends. It is twice the number of workers in the largest deployment designed for, so that
     * none is evicted even if every worker leaves.
     */
    private static final int MAX_TOMBSTONES = 24_000;

    private final Map<String, KnownWorker> known = new HashMap<>();
    private final Map<String, Long> tombstoneRevisions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };

    private long lastOutageMillis = Long.MIN_VALUE;

    private static final class KnownWorker {
        private UpstreamRecord record;
        private long missingSinceMillis = Long.MAX_VALUE;

        KnownWorker(UpstreamRecord record) {
            this.record = record;
        }
    }

    /**
     * Records that the store is unavailable or answers with errors.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void recordOutage(long nowMillis) {
        lastOutageMillis = nowMillis;
    }

    /**
     * Applies a complete listing. Known workers that it does not contain are treated as removed.
     *
     * @param records all records at the revision
     * @param revision the store revision of the listing
     * @param nowMillis the current time, in milliseconds
     */
    public void applyListing(Collection<UpstreamRecord> records, long revision, long nowMillis) {
        Map<String, UpstreamRecord> listed = new HashMap<>();
        records.forEach(record -> listed.put(record.id(), record));
        for (String id : List.copyOf(known.keySet())) {
            if (!listed.containsKey(id)) {
                applyRemoval(id, revision, nowMillis);
            }
        }
        records.forEach(this::applyChange);
    }

    /**
     * Applies a new or changed record. Records older than the known one or its tombstone are ignored.
     *
     * @param record the record
     */
    public void applyChange(UpstreamRecord record) {
        if (tombstoneRevisions.getOrDefault(record.id(), Long.MIN_VALUE) > record.revision()) {
            return;
        }
        KnownWorker entry = known.get(record.id());
        if (entry == null) {
            known.put(record.id(), new KnownWorker(record));
            return;
        }
        if (entry.record.revision() > record.revision()) {
            return;
        }
        entry.record = record;
        entry.missingSinceMillis = Long.MAX_VALUE;
    }

    /**
     * Applies the removal of a record.
     *
     * @param id the id of the worker
     * @param revision the store revision at which the record was gone
     * @param nowMillis the current time, in milliseconds
     */
    public void applyRemoval(String id, long revision, long nowMillis) {
        KnownWorker entry = known.get(id);
        if (entry == null || entry.record.revision() > revision) {
            return;
        }
        tombstoneRevisions.merge(id, revision, Math::max);
        boolean mayHaveExpired = !entry.record.leaving() && nowMillis - REREGISTRATION_MILLIS <= lastOutageMillis;
        if (!mayHaveExpired) {
            known.remove(id);
        } else if (entry.missingSinceMillis == Long.MAX_VALUE) {
            entry.missingSinceMillis = nowMillis;
        }
    }

    /**
     * Removes the workers whose records have been missing for too long. Nothing is removed during an outage, since
     * workers cannot write their records again until it ends.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void expire(long nowMillis) {
        if (nowMillis - REREGISTRATION_MILLIS <= lastOutageMillis) {
            return;
        }
        known.values()
                .removeIf(entry -> entry.missingSinceMillis != Long.MAX_VALUE
                        && nowMillis - entry.missingSinceMillis > REREGISTRATION_MILLIS);
    }

    /**
     * Returns the workers that accept new requests.
     *
     * @return their records
     */
    public List<UpstreamRecord> serving() {
        List<UpstreamRecord> serving = new ArrayList<>();
        known.values().forEach(entry -> {
            if (!entry.record.leaving()) {
                serving.add(entry.record);
            }
        });
        return serving;
    }
}
