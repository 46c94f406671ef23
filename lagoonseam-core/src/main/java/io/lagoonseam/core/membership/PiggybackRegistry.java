package io.lagoonseam.core.membership;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The numbers that ride on the probes of one node. */
public final class PiggybackRegistry {

    private final Map<Integer, PiggybackSource> sources = new ConcurrentHashMap<>();

    /**
     * Adds a number.
     *
     * @param source the number and the listener for those of other nodes
     * @throws IllegalStateException if the key is in use
     */
    public void add(PiggybackSource source) {
        if (sources.putIfAbsent(source.key(), source) != null) {
            throw new IllegalStateException("piggyback key " + source.key() + " is in use");
        }
    }

    /**
     * Returns the numbers to tell.
     *
     * @return values by key
     */
    public Map<Integer, Long> values() {
        Map<Integer, Long> values = new TreeMap<>();
        sources.forEach((key, source) -> values.put(key, source.value()));
        return values;
    }

    /**
     * Hands on the numbers that another node told.
     *
     * @param senderId the node
     * @param values values by key; unknown keys are left out
     */
    public void heard(String senderId, Map<Integer, Long> values) {
        values.forEach((key, value) -> {
            PiggybackSource source = sources.get(key);
            if (source != null) {
                source.heard(senderId, value);
            }
        });
    }
}
