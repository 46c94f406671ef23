package io.lagoonseam.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The workers that are known and whether they may get new work. A worker that announces its leaving, or whose record
 * goes while the store is calm, gets no new work at once. A record that goes during or just after an outage of the
 * store may only have expired, so its worker is kept for {@link #RETURN_MILLIS}.
 */
public final class UpstreamDirectory {

    /**
     * How long a record may stay away after an outage before its worker is held gone, in milliseconds: records that
     * expired in an outage are written again within 2 s of its end; a fifth is added for the way.
     */
    public static final long RETURN_MILLIS = 2_400;

    /**
     * The removals that are remembered, so that an older copy of another node does not bring a worker back: twice the
     * workers of the largest deployment that is designed for, all of which would have to leave in the meantime.
     */
    private static final int REMOVED_KEPT = 24_000;

    private final Map<String, Known> known = new HashMap<>();
    private final Map<String, Long> removedAtRevision = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > REMOVED_KEPT;
        }
    };

    private long outageUntilMillis = Long.MIN_VALUE;

    private static final class Known {
        private UpstreamRecord record;
        private long missingSinceMillis = Long.MAX_VALUE;

        Known(UpstreamRecord record) {
            this.record = record;
        }
    }

    /**
     * Notes that the store does not answer as it should.
     *
     * @param nowMillis the time
     */
    public void outage(long nowMillis) {
        outageUntilMillis = nowMillis;
    }

    /**
     * Takes a whole listing.
     *
     * @param records all records at the revision
     * @param revision the store's revision of the listing
     * @param nowMillis the time
     */
    public void listed(Collection<UpstreamRecord> records, long revision, long nowMillis) {
        Map<String, UpstreamRecord> listed = new HashMap<>();
        records.forEach(record -> listed.put(record.id(), record));
        for (String id : List.copyOf(known.keySet())) {
            if (!listed.containsKey(id)) {
                removed(id, revision, nowMillis);
            }
        }
        records.forEach(this::changed);
    }

    /**
     * Takes a new or changed record; an older one than is known changes nothing.
     *
     * @param record the record
     */
    public void changed(UpstreamRecord record) {
        if (removedAtRevision.getOrDefault(record.id(), Long.MIN_VALUE) > record.revision()) {
            return;
        }
        Known entry = known.get(record.id());
        if (entry == null) {
            known.put(record.id(), new Known(record));
            return;
        }
        if (entry.record.revision() > record.revision()) {
            return;
        }
        entry.record = record;
        entry.missingSinceMillis = Long.MAX_VALUE;
    }

    /**
     * Takes the removal of a record.
     *
     * @param id the worker
     * @param revision the store's revision at which it was gone
     * @param nowMillis the time
     */
    public void removed(String id, long revision, long nowMillis) {
        Known entry = known.get(id);
        if (entry == null || entry.record.revision() > revision) {
            return;
        }
        removedAtRevision.merge(id, revision, Math::max);
        boolean mayHaveExpired = !entry.record.leaving() && nowMillis - RETURN_MILLIS <= outageUntilMillis;
        if (!mayHaveExpired) {
            known.remove(id);
        } else if (entry.missingSinceMillis == Long.MAX_VALUE) {
            entry.missingSinceMillis = nowMillis;
        }
    }

    /**
     * Removes the workers whose records have stayed away for too long. During an outage nothing is removed, since no
     * worker can write its record again.
     *
     * @param nowMillis the time
     */
    public void expire(long nowMillis) {
        if (nowMillis - RETURN_MILLIS <= outageUntilMillis) {
            return;
        }
        known.values()
                .removeIf(entry -> entry.missingSinceMillis != Long.MAX_VALUE
                        && nowMillis - entry.missingSinceMillis > RETURN_MILLIS);
    }

    /**
     * Returns the workers that may get new work.
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
