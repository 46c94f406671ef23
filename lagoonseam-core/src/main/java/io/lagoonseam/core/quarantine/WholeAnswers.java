package io.lagoonseam.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Remembers when workers began the last whole answers to requests with each suspect. Their number is bounded; beyond it
 * the oldest is forgotten. Not thread-safe.
 */
public final class WholeAnswers {

    private static final int MAX_SUSPECTS = 10_000;

    /** The number of suspects of one request that are remembered, so that no request displaces all others. */
    private static final int MAX_SUSPECTS_PER_ANSWER = 64;

    private final Map<Suspect, Long> beganMillis = new LinkedHashMap<>();

    /**
     * Records a whole answer.
     *
     * @param suspects the suspects of its request
     * @param atMillis when its worker began it, in milliseconds
     */
    public void record(Collection<Suspect> suspects, long atMillis) {
        suspects.stream().limit(MAX_SUSPECTS_PER_ANSWER).forEach(suspect -> {
            Long before = beganMillis.remove(suspect);
            beganMillis.put(suspect, before == null ? atMillis : Math.max(before, atMillis));
        });
        var oldest = beganMillis.keySet().iterator();
        while (beganMillis.size() > MAX_SUSPECTS) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns when the last whole answer began.
     *
     * @param suspect the suspect
     * @return the time, in milliseconds; empty if none is remembered
     */
    public OptionalLong lastBeganMillis(Suspect suspect) {
        Long millis = beganMillis.get(suspect);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
