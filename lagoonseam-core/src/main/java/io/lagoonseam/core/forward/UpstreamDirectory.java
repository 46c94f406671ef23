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
 * just after an outage of the store may only have expired, so its worker is kept for as long as {@link StoreOutages}
 * says.
 */
public final class UpstreamDirectory {

    /**
     * The maximum number of tombstones, which prevent a removed worker from being restored by an older copy of its
     * record that another node sends. It is twice the number of workers in the largest deployment designed for, so that
     * none is evicted even if every worker leaves.
     */
    private static final int MAX_TOMBSTONES = 24_000;

    /** The minimum number of records, and their share, that are removed at once only if they expire in an outage. */
    private static final int MIN_EXPIRED_TOGETHER = 3;

    private static final double EXPIRED_SHARE = 1.0 / 3;

    private final Map<String, KnownWorker> known = new HashMap<>();
    private final Map<String, Long> tombstoneRevisions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };

    /** Start times of the incarnations known to be leaving, by worker id. Kept for as long as the tombstones. */
    private final Map<String, LeavingIncarnation> leavingIncarnations = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LeavingIncarnation> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };

    private final StoreOutages outages;

    private record LeavingIncarnation(long startMillis, long learnedMillis) {}

    private static final class KnownWorker {
        private UpstreamRecord record;
        private boolean missing;

        KnownWorker(UpstreamRecord record) {
            this.record = record;
        }
    }

    /**
     * Creates a directory without workers.
     *
     * @param outages knows when the store was away
     */
    public UpstreamDirectory(StoreOutages outages) {
        this.outages = outages;
    }

    /**
     * Returns what is known of outages of the store.
     *
     * @return what the calls of this node have to be told to
     */
    public StoreOutages outages() {
        return outages;
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
        recordRemovals(
                known.values().stream()
                        .filter(entry -> !listed.containsKey(entry.record.id()) && entry.record.revision() <= revision)
                        .map(entry -> entry.record.id())
                        .toList(),
                nowMillis);
        for (String id : List.copyOf(known.keySet())) {
            if (!listed.containsKey(id)) {
                applyRemoval(id, revision, nowMillis);
            }
        }
        records.forEach(this::applyChange);
    }

    /**
     * Applies a new or changed record. Records older than the known one or its tombstone are ignored. An incarnation
     * that has announced its leaving stays leaving, whatever a later record says: the store may have lost the
     * announcement when it was restored from a copy.
     *
     * @param record the record
     */
    public void applyChange(UpstreamRecord record) {
        if (tombstoneRevisions.getOrDefault(record.id(), Long.MIN_VALUE) > record.revision()) {
            return;
        }
        if (record.leaving() && record.startMillis() != 0) {
            leavingIncarnations.merge(
                    record.id(),
                    new LeavingIncarnation(record.startMillis(), Long.MIN_VALUE),
                    (earlier, read) -> earlier.startMillis() == read.startMillis() ? earlier : read);
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
        entry.missing = false;
    }

    /**
     * Records that the store has removed several records at the same time. If they are many, they have expired in an
     * outage that this node has not noticed, since none of its calls has failed.
     *
     * @param ids the ids of the workers
     * @param nowMillis the current time, in milliseconds
     */
    public void recordRemovals(Collection<String> ids, long nowMillis) {
        long serving = known.values().stream()
                .filter(entry -> !isLeaving(entry.record) && !entry.missing)
                .count();
        long removed = ids.stream()
                .filter(id -> known.containsKey(id) && !known.get(id).missing && !isLeaving(known.get(id).record))
                .count();
        if (removed >= MIN_EXPIRED_TOGETHER && removed > EXPIRED_SHARE * serving) {
            outages.expired(nowMillis);
        }
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
        if (!isLeaving(entry.record) && outages.mayHaveExpired(nowMillis)) {
            entry.missing = true;
        } else {
            known.remove(id);
        }
    }

    /**
     * Removes the workers whose records are still missing when they would have been written again. Nothing is removed
     * during an outage, since workers cannot write their records until it ends.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void expire(long nowMillis) {
        if (!outages.mayHaveExpired(nowMillis)) {
            known.values().removeIf(entry -> entry.missing);
        }
    }

    /**
     * Records that a worker has announced by itself, in an answer, that it is leaving. Records of the same incarnation
     * that still call it ready are stale: the worker gets no new requests until a new incarnation registers.
     *
     * @param id the id of the worker
     * @param startMillis the start time of the incarnation, in Unix milliseconds
     * @param nowMillis the current time, in milliseconds
     * @return whether this was not known before
     */
    public boolean markLeaving(String id, long startMillis, long nowMillis) {
        KnownWorker entry = known.get(id);
        boolean otherIncarnation = entry != null && entry.record.startMillis() != startMillis;
        LeavingIncarnation leaving = leavingIncarnations.get(id);
        if (otherIncarnation || leaving != null && leaving.startMillis() == startMillis) {
            return false;
        }
        leavingIncarnations.put(id, new LeavingIncarnation(startMillis, nowMillis));
        return true;
    }

    /**
     * Returns the workers of which this node has learned since a point in time that they are leaving, for its peers.
     *
     * @param sinceMillis the point in time, in milliseconds
     * @return the start times of their incarnations, by worker id
     */
    public Map<String, Long> leavingSince(long sinceMillis) {
        Map<String, Long> recent = new HashMap<>();
        leavingIncarnations.forEach((id, leaving) -> {
            if (leaving.learnedMillis() >= sinceMillis) {
                recent.put(id, leaving.startMillis());
            }
        });
        return recent;
    }

    private boolean isLeaving(UpstreamRecord record) {
        LeavingIncarnation leaving = leavingIncarnations.get(record.id());
        return record.leaving() || leaving != null && leaving.startMillis() == record.startMillis();
    }

    /**
     * Returns all workers that are known, also those that are leaving.
     *
     * @return their records
     */
    public List<UpstreamRecord> known() {
        return known.values().stream().map(entry -> entry.record).toList();
    }

    /**
     * Returns the workers that accept new requests.
     *
     * @return their records
     */
    public List<UpstreamRecord> serving() {
        List<UpstreamRecord> serving = new ArrayList<>();
        known.values().forEach(entry -> {
            if (!isLeaving(entry.record)) {
                serving.add(entry.record);
            }
        });
        return serving;
    }
}
