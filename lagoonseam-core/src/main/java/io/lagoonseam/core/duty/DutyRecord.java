package io.lagoonseam.core.duty;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Who holds the duty of reporting usage, and what was decided.
 *
 * @param machine the id of the holder's node
 * @param incarnation identifies the holder's process; empty if it has released the duty
 * @param token grows with each taking
 * @param previousMachine the id of the node that held the duty before, if it was another one
 * @param reported the last window that has been reported, or given up; all before it have too
 * @param decided the decided windows after it, and some before, by their numbers: counts by workspace
 */
public record DutyRecord(
        String machine,
        String incarnation,
        long token,
        String previousMachine,
        long reported,
        NavigableMap<Long, Map<String, Long>> decided) {

    /** Nobody has ever held the duty. */
    public static final DutyRecord NONE = new DutyRecord("", "", 0, "", -1, new TreeMap<>());

    /** Another writer has left something else: there may be a holder, whose lease has to pass. */
    public static final DutyRecord UNREADABLE = new DutyRecord("", "?", 0, "", -1, new TreeMap<>());

    /** The number of decided windows that are kept. */
    public static final int MAX_DECIDED = 8;

    /** Copies the counts. */
    public DutyRecord {
        NavigableMap<Long, Map<String, Long>> copy = new TreeMap<>();
        decided.forEach((window, counts) -> copy.put(window, Map.copyOf(counts)));
        decided = copy;
    }

    /** Returns whether the holder has given the duty up. */
    public boolean released() {
        return incarnation.isEmpty();
    }

    /** Returns the record with another holder. */
    public DutyRecord heldBy(String byMachine, String byIncarnation, long withToken) {
        String previous = byMachine.equals(machine) ? previousMachine : machine;
        return new DutyRecord(byMachine, byIncarnation, withToken, previous, reported, decided);
    }

    /**
     * Returns the record with what another one knows of decided and reported windows.
     *
     * @param other the other record, whose counts hold where both have decided a window
     * @return the record, without the oldest windows beyond {@link #MAX_DECIDED}
     */
    public DutyRecord with(DutyRecord other) {
        NavigableMap<Long, Map<String, Long>> both = new TreeMap<>(decided);
        both.putAll(other.decided);
        while (both.size() > MAX_DECIDED) {
            both.pollFirstEntry();
        }
        return new DutyRecord(machine, incarnation, token, previousMachine, Math.max(reported, other.reported), both);
    }

    /** Returns the record after its holder has given the duty up. */
    public DutyRecord release() {
        return new DutyRecord(machine, "", token, previousMachine, reported, decided);
    }

    /** Returns the record after a window has been reported or given up. */
    public DutyRecord withReported(long window) {
        return new DutyRecord(machine, incarnation, token, previousMachine, Math.max(reported, window), decided);
    }

    /**
     * Returns the record with the counts of a window, which must not have been decided.
     *
     * @param window the number of the window
     * @param counts the counts by workspace
     * @return the record, without the oldest windows beyond {@link #MAX_DECIDED}
     */
    public DutyRecord withDecided(long window, Map<String, Long> counts) {
        if (decided.containsKey(window) || window <= reported) {
            throw new IllegalArgumentException("window " + window + " has been decided");
        }
        NavigableMap<Long, Map<String, Long>> more = new TreeMap<>(decided);
        more.put(window, counts);
        long firstReported = reported;
        while (more.size() > MAX_DECIDED) {
            firstReported = Math.max(firstReported, more.pollFirstEntry().getKey());
        }
        return new DutyRecord(machine, incarnation, token, previousMachine, firstReported, more);
    }

    /** Returns the first window that has to be decided next, given the first that may be. */
    public long nextToDecide(long earliest) {
        long after = Math.max(reported, decided.isEmpty() ? -1 : decided.lastKey());
        return Math.max(earliest, after + 1);
    }
}
