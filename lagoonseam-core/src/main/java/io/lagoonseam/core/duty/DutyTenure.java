package io.lagoonseam.core.duty;

import io.lagoonseam.core.time.TimeReading;
import io.lagoonseam.core.time.TimeSource;
import java.util.Optional;

/**
 * Decides whether this node may take a duty, and whether it still holds it, from the record that all nodes write under
 * the condition of its revision. Answers holders that are killed, frozen or cut off from the store in the middle of a
 * call: no two act at the same time, although nobody checks it. Not thread-safe.
 */
public final class DutyTenure {

    /** How long before the end of its lease a holder no longer begins a call, in milliseconds. */
    static final long MARGIN_MILLIS = 1_500;

    private final TimeSource time;
    private final String incarnation;
    private final String machine;
    private final long leaseMillis;
    private Optional<DutyRecord> record = Optional.empty();
    private long revision = -1;
    private long revisionSinceMillis;
    private long highestToken;
    /** What has been decided and reported by any record seen, also if the store has lost it since. */
    private DutyRecord seen = DutyRecord.NONE;

    private Optional<TimeReading> renewedAt = Optional.empty();

    /**
     * Creates the tenure of a node that knows no record.
     *
     * @param time the clocks
     * @param machine the id of this node
     * @param incarnation identifies this process among all, also among those of this node
     * @param leaseMillis how long a record without a change belongs to its holder, in milliseconds
     */
    public DutyTenure(TimeSource time, String machine, String incarnation, long leaseMillis) {
        this.time = time;
        this.machine = machine;
        this.incarnation = incarnation;
        this.leaseMillis = leaseMillis;
    }

    /**
     * Records what the store holds.
     *
     * @param found the record
     * @param atRevision its revision, which grows with each change; one that falls shows a store restored from a copy
     */
    public void observe(DutyRecord found, long atRevision) {
        highestToken = Math.max(highestToken, found.token());
        seen = seen.with(found);
        if (atRevision != revision) {
            revision = atRevision;
            revisionSinceMillis = time.monotonicMillis();
            record = Optional.of(found);
            if (!found.incarnation().equals(incarnation)) {
                renewedAt = Optional.empty();
            }
        }
    }

    /** Records that the store holds no record. */
    public void observeNone() {
        record = Optional.empty();
        revision = -1;
        renewedAt = Optional.empty();
    }

    /**
     * Records that a write of this node has been accepted.
     *
     * @param written the record
     * @param atRevision its revision
     * @param sentAt when the write was sent; empty if that is no longer known
     */
    public void onWritten(DutyRecord written, long atRevision, Optional<TimeReading> sentAt) {
        observe(written, atRevision);
        renewedAt = written.incarnation().equals(incarnation) ? sentAt : Optional.empty();
    }

    /** Ends the right to act until the next renewal: the clocks do not agree on how long ago the last one was. */
    public void distrustClocks() {
        renewedAt = Optional.empty();
    }

    /** Returns the latest record that is known. */
    public Optional<DutyRecord> record() {
        return record;
    }

    /** Returns the revision of the record, the condition of the next write; -1 if there is none. */
    public long revision() {
        return revision;
    }

    /** Returns whether this node may begin a call as the holder now. */
    public boolean holds() {
        return renewedAt.isPresent() && renewedAt.get().maxAgeMillis(time) < leaseMillis - MARGIN_MILLIS;
    }

    /** Returns whether the record names this process, which may have to renew it before it acts. */
    public boolean named() {
        return record.isPresent() && record.get().incarnation().equals(incarnation);
    }

    /** Returns whether this node may take the duty now, by a write under the condition of the known revision. */
    public boolean mayTake() {
        if (record.isEmpty()) {
            return true;
        }
        boolean expired = time.monotonicMillis() - revisionSinceMillis >= leaseMillis;
        boolean tookTurns = record.get().previousMachine().equals(machine);
        return expired || record.get().released() && !tookTurns;
    }

    /**
     * Returns the record with which this node takes the duty.
     *
     * @return the present one, with all decisions seen, this node as its holder and a token above all seen
     */
    public DutyRecord taken() {
        DutyRecord before = record.orElse(DutyRecord.NONE).with(seen);
        // each taking changes the revision, so that tokens grow also where no earlier one is known
        long highest = Math.max(revision, Math.max(highestToken, before.token()));
        return before.heldBy(machine, incarnation, highest + 1);
    }
}
