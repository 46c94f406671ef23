package io.lagoonseam.core.membership;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Registry of the values that a node piggybacks on its membership messages. Thread-safe. */
public final class PiggybackRegistry {

    private final Map<Integer, PiggybackSource> sources = new ConcurrentHashMap<>();

    /**
     * Registers a source.
     *
     * @param source the source of this node's value and receiver of those of other nodes
     * @throws IllegalStateException if the key of the source is already registered
     */
    public void add(PiggybackSource source) {
        if (sources.putIfAbsent(source.key(), source) != null) {
            throw new IllegalStateException("piggyback key " + source.key() + " is already registered");
        }
    }

    /**
     * Returns the current values of all sources.
     *
     * @return the values by key
     */
    public Map<Integer, Long> values() {
        Map<Integer, Long> values = new TreeMap<>();
        sources.forEach((key, source) -> values.put(key, source.value()));
        return values;
    }

    /**
     * Passes the values received from another node to the sources.
     *
     * @param senderId the id of the sending node
     * @param values the received values by key; unknown keys are ignored
     */
    public void receive(String senderId, Map<Integer, Long> values) {
        values.forEach((key, value) -> {
            PiggybackSource source = sources.get(key);
            if (source != null) {
                source.onReceived(senderId, value);
            }
        });
    }
}
