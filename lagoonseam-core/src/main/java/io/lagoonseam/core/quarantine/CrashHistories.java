package io.lagoonseam.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The histories of suspects that a node knows. Their number is bounded; beyond it the one that has not changed for the
 * longest time is forgotten. Not thread-safe.
 */
public final class CrashHistories {

    /** How long a history is remembered after its last change, in milliseconds. */
    private static final long LIFETIME_MILLIS = 1_800_000;

    /** The number of suspects in quarantine up to which it is asked which of them explains the crashes under others. */
    private static final int MAX_COMPARED = 64;

    private final int maxSuspects;
    private final Map<Suspect, CrashHistory> histories = new LinkedHashMap<>();
    /** The suspects whose requests are not to be sent; null after a change until it is asked for. */
    private Set<Suspect> held;

    /**
     * Creates a memory.
     *
     * @param maxSuspects the maximum number of suspects
     */
    public CrashHistories(int maxSuspects) {
        this.maxSuspects = maxSuspects;
    }

    /**
     * Returns what is known of a suspect.
     *
     * @param suspect the suspect
     * @return its history, {@link CrashHistory#EMPTY} if nothing is known
     */
    public CrashHistory get(Suspect suspect) {
        return histories.getOrDefault(suspect, CrashHistory.EMPTY);
    }

    /**
     * Adds what another node knows, or what has become of a request.
     *
     * @param suspect the suspect
     * @param history its history
     * @return whether anything in it was new
     */
    public boolean merge(Suspect suspect, CrashHistory history) {
        held = null;
        CrashHistory known = histories.remove(suspect);
        CrashHistory merged = known == null ? history : known.merge(history);
        histories.put(suspect, merged);
        if (histories.size() > maxSuspects) {
            Iterator<Suspect> oldest = histories.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return known == null || known.fingerprint() != merged.fingerprint();
    }

    /**
     * Returns whether requests with a suspect are not to be sent: enough crashes count, and no other suspect in
     * quarantine was there at all of them and at others besides. If a request was there at the same crashes as a part
     * of it, the request is held and the part is not.
     *
     * @param suspect the suspect
     * @return true if they are not to be sent
     */
    public boolean quarantined(Suspect suspect) {
        if (held == null) {
            held = held();
        }
        return held.contains(suspect);
    }

    private Set<Suspect> held() {
        Map<Suspect, CrashHistory> sufficient = sufficient();
        if (sufficient.size() > MAX_COMPARED) {
            return Set.copyOf(sufficient.keySet());
        }
        Set<Suspect> found = new HashSet<>();
        sufficient.forEach((suspect, history) -> {
            boolean explained = sufficient.entrySet().stream()
                    .filter(other -> !other.getKey().equals(suspect) && history.isWithin(other.getValue()))
                    .anyMatch(other -> !other.getValue().isWithin(history)
                            || other.getKey().kind().compareTo(suspect.kind()) > 0);
            if (!explained) {
                found.add(suspect);
            }
        });
        return found;
    }

    private Map<Suspect, CrashHistory> sufficient() {
        Map<Suspect, CrashHistory> found = new HashMap<>();
        histories.forEach((suspect, history) -> {
            if (history.sufficient(suspect.kind())) {
                found.put(suspect, history);
            }
        });
        return found;
    }

    /**
     * Returns whether another suspect in quarantine was there at each crash under this one.
     *
     * @param suspect the suspect
     * @return true if either may be the cause, or if there are too many to compare
     */
    public boolean ambiguous(Suspect suspect) {
        CrashHistory history = get(suspect);
        Map<Suspect, CrashHistory> sufficient = sufficient();
        sufficient.remove(suspect);
        return sufficient.size() > MAX_COMPARED || sufficient.values().stream().anyMatch(history::isWithin);
    }

    /**
     * Forgets the histories that have not changed for long.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void expire(long nowMillis) {
        if (histories.values().removeIf(history -> nowMillis - history.lastChangeMillis() > LIFETIME_MILLIS)) {
            held = null;
        }
    }

    /**
     * Returns all suspects that are known.
     *
     * @return a copy
     */
    public List<Suspect> suspects() {
        return new ArrayList<>(histories.keySet());
    }

    /**
     * Returns the number of suspects that are known.
     *
     * @return the number
     */
    public int size() {
        return histories.size();
    }

    /**
     * Returns a hash of all histories that does not depend on the clock of a node.
     *
     * @return the hash, 0 if nothing is known
     */
    public long fingerprint() {
        long sum = 0;
        for (Map.Entry<Suspect, CrashHistory> entry : histories.entrySet()) {
            sum += 31 * entry.getKey().digest()
                    + entry.getKey().kind().ordinal()
                    + 7 * entry.getValue().fingerprint();
        }
        return sum;
    }
}
