package io.lagoonseam.core.quarantine;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The crashes of workers that had requests with one suspect in flight, and what has come of such requests since. Nodes
 * merge the histories that they have, in any order and repeatedly.
 *
 * <p>Requests that are at a worker when it crashes are most often not the cause. A whole answer that a worker began
 * after a crash shows that the suspect has not caused that one, so that the crash no longer counts.
 *
 * @param crashes the latest crashes, by time
 * @param callers hashes of the callers whose requests were in flight
 * @param answer the newest whole answer
 * @param answeredBefore whether whole answers are known from any time, so that the suspect was sound once
 * @param trial the last request that was let through
 */
public record CrashHistory(List<Crash> crashes, Set<Long> callers, Answer answer, boolean answeredBefore, Trial trial) {

    /** The history of a suspect under which no worker has crashed. */
    public static final CrashHistory EMPTY = new CrashHistory(List.of(), Set.of(), Answer.NONE, false, Trial.NONE);

    private static final int MAX_CRASHES = 16;
    private static final int MAX_CALLERS = 8;

    /**
     * How far apart crashes have to be to count each, in milliseconds: what ends several workers at once has many
     * requests in flight at them.
     */
    private static final long SEPARATE_CRASHES_MILLIS = 300;

    /** The same under a suspect that was sound once. */
    private static final long SEPARATE_CRASHES_OF_SOUND_MILLIS = 1_000;

    /**
     * A whole answer to a request with the suspect.
     *
     * @param id a random number that identifies it; 0 for none
     * @param beganMillis when its worker began it, on the monotonic clock of this node, in milliseconds
     */
    public record Answer(long id, long beganMillis) {

        /** No answer. */
        public static final Answer NONE = new Answer(0, Long.MIN_VALUE);

        private static Answer merge(Answer one, Answer other) {
            if (one.id == other.id) {
                return new Answer(one.id, Math.min(one.beganMillis, other.beganMillis));
            }
            return one.beganMillis >= other.beganMillis ? one : other;
        }
    }

    /**
     * A request that was let through although its suspect is in quarantine.
     *
     * @param id a random number that identifies it; 0 for none
     * @param number the number of requests that were let through since the last whole answer; 0 for none
     * @param atMillis when it was let through, on the monotonic clock of this node, in milliseconds
     */
    public record Trial(long id, int number, long atMillis) {

        /** No request has been let through. */
        public static final Trial NONE = new Trial(0, 0, Long.MIN_VALUE);

        private static Trial merge(Trial one, Trial other) {
            if (one.id == other.id) {
                return new Trial(one.id, one.number, Math.min(one.atMillis, other.atMillis));
            }
            return one.atMillis >= other.atMillis ? one : other;
        }
    }

    /** Copies the collections. */
    public CrashHistory {
        crashes = List.copyOf(crashes);
        callers = Set.copyOf(callers);
    }

    /**
     * Returns the history with one more crash.
     *
     * @param crash the crash
     * @param caller a hash of the caller whose request was in flight
     * @return the history with it
     */
    public CrashHistory withCrash(Crash crash, long caller) {
        return merge(new CrashHistory(List.of(crash), Set.of(caller), Answer.NONE, false, Trial.NONE));
    }

    /**
     * Returns the history with a whole answer.
     *
     * @param newer the answer
     * @return the history with it
     */
    public CrashHistory withAnswer(Answer newer) {
        return new CrashHistory(crashes, callers, Answer.merge(answer, newer), true, trial);
    }

    /**
     * Returns the history with a request that is let through.
     *
     * @param id a random number that identifies it
     * @param nowMillis the current time, in milliseconds
     * @return the history with it
     */
    public CrashHistory withTrial(long id, long nowMillis) {
        return new CrashHistory(crashes, callers, answer, answeredBefore, new Trial(id, trials() + 1, nowMillis));
    }

    /**
     * Returns what two nodes know together.
     *
     * @param other what another node knows of the same suspect
     * @return the merged history
     */
    public CrashHistory merge(CrashHistory other) {
        List<Crash> merged = new ArrayList<>(crashes);
        for (Crash crash : other.crashes) {
            int known = indexOf(merged, crash);
            if (known < 0) {
                merged.add(crash);
            } else {
                merged.set(known, crash.merge(merged.get(known)));
            }
        }
        merged.sort(Comparator.comparingLong(Crash::atMillis));
        Set<Long> all = new TreeSet<>(callers);
        other.callers.stream().sorted().limit(MAX_CALLERS).forEach(all::add);
        return new CrashHistory(
                merged.subList(Math.max(0, merged.size() - MAX_CRASHES), merged.size()),
                new TreeSet<>(all.stream().limit(MAX_CALLERS).toList()),
                Answer.merge(answer, other.answer),
                answeredBefore || other.answeredBefore,
                Trial.merge(trial, other.trial));
    }

    private static int indexOf(List<Crash> crashes, Crash crash) {
        for (int index = 0; index < crashes.size(); index++) {
            if (crashes.get(index).sameAs(crash)) {
                return index;
            }
        }
        return -1;
    }

    /**
     * Returns the crashes that no whole answer speaks against.
     *
     * @return the crashes, by time
     */
    public List<Crash> evidence() {
        return crashes.stream()
                .filter(crash -> crash.atMillis() > answer.beganMillis())
                .toList();
    }

    private int trials() {
        return trial.atMillis > answer.beganMillis ? trial.number : 0;
    }

    /**
     * Returns whether so many crashes count that requests with the suspect are not to be sent.
     *
     * @param kind the kind of the suspect
     * @return true if they suffice
     */
    public boolean sufficient(Suspect.Kind kind) {
        long separateMillis = answeredBefore ? SEPARATE_CRASHES_OF_SOUND_MILLIS : SEPARATE_CRASHES_MILLIS;
        int counted = 0;
        long lastMillis = 0;
        for (Crash crash : evidence()) {
            boolean sentAfter = !answeredBefore && crash.sentMillis() > lastMillis;
            if (counted == 0 || sentAfter || crash.atMillis() - lastMillis >= separateMillis) {
                counted++;
                lastMillis = crash.atMillis();
            }
        }
        return counted >= kind.crashesToQuarantine();
    }

    /**
     * Returns when the last worker crashed.
     *
     * @return the time, in milliseconds; {@link Long#MIN_VALUE} if there was no crash
     */
    public long lastCrashMillis() {
        return crashes.isEmpty()
                ? Long.MIN_VALUE
                : crashes.get(crashes.size() - 1).atMillis();
    }

    /**
     * Returns when the history last changed.
     *
     * @return the time, in milliseconds; {@link Long#MIN_VALUE} if it is empty
     */
    public long lastChangeMillis() {
        return Math.max(lastCrashMillis(), Math.max(answer.beganMillis(), trial.atMillis()));
    }

    /**
     * Returns whether another suspect was there at each crash that counts under this one.
     *
     * @param other the history of the other suspect
     * @return true if the crashes of this one are among those of the other
     */
    public boolean isWithin(CrashHistory other) {
        List<Crash> others = other.evidence();
        return evidence().stream().allMatch(crash -> indexOf(others, crash) >= 0);
    }

    /**
     * Returns whether a request may be let through to see whether a worker answers it. The first one is let through
     * early if another suspect explains the crashes as well, or if the caller had no part in them.
     *
     * @param caller a hash of the caller
     * @param ambiguous whether another suspect explains the crashes as well
     * @param nowMillis the current time, in milliseconds
     * @return true if one may be let through
     */
    public boolean mayTry(long caller, boolean ambiguous, long nowMillis) {
        return TrialSchedule.due(this, trials(), ambiguous, !callers.contains(caller), nowMillis);
    }

    /**
     * Returns a hash of the history that does not depend on the clock of a node.
     *
     * @return the hash
     */
    public long fingerprint() {
        long sum = Rendezvous.mix(answer.id, trial.id);
        for (Crash crash : crashes) {
            sum += Rendezvous.mix(crash.worker(), 1);
        }
        return sum;
    }
}
