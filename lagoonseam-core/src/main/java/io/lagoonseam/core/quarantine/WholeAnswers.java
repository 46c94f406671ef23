package io.lagoonseam.core.quarantine;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Remembers when workers began the last whole answers to requests with each suspect. Their number is bounded; beyond it
 * the oldest of the same kind is forgotten. Not thread-safe.
 */
public final class WholeAnswers {

    private static final int MAX_SUSPECTS = 10_000;

    /** The number of suspects of one request that are remembered, so that no request displaces all others. */
    private static final int MAX_SUSPECTS_PER_ANSWER = 64;

    /** Apart for each kind, since there are many more requests than parts of prompts. */
    private final Map<Suspect.Kind, Map<Suspect, Long>> beganMillisByKind = new EnumMap<>(Suspect.Kind.class);

    /**
     * Records a whole answer.
     *
     * @param suspects the suspects of its request
     * @param atMillis when its worker began it, in milliseconds
     */
    public void record(Collection<Suspect> suspects, long atMillis) {
        suspects.stream().limit(MAX_SUSPECTS_PER_ANSWER).forEach(suspect -> {
            Map<Suspect, Long> beganMillis = ofKind(suspect);
            Long before = beganMillis.remove(suspect);
            beganMillis.put(suspect, before == null ? atMillis : Math.max(before, atMillis));
            if (beganMillis.size() > MAX_SUSPECTS) {
                var oldest = beganMillis.keySet().iterator();
                oldest.next();
                oldest.remove();
            }
        });
    }

    private Map<Suspect, Long> ofKind(Suspect suspect) {
        return beganMillisByKind.computeIfAbsent(suspect.kind(), kind -> new LinkedHashMap<>());
    }

    /**
     * Returns when the last whole answer began.
     *
     * @param suspect the suspect
     * @return the time, in milliseconds; empty if none is remembered
     */
    public OptionalLong lastBeganMillis(Suspect suspect) {
        Long millis = ofKind(suspect).get(suspect);
        return millis == null ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
