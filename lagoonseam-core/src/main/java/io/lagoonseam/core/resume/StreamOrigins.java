package io.lagoonseam.core.resume;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Remembers which software version began each stream. The number of streams is bounded; beyond it the one that was
 * recorded longest ago is forgotten, and so is not taken up any more. Not thread-safe.
 */
public final class StreamOrigins {

    /**
     * The streams of five minutes at a node of the largest deployment designed for, with the copies for other nodes.
     */
    public static final int MAX_STREAMS = 20_000;

    private final int maxStreams;
    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

    /** What is known of one stream; the origin is empty if two different ones were recorded. */
    private record Entry(Optional<StreamOrigin> origin, long untilMillis) {}

    /** Creates a memory of {@link #MAX_STREAMS} streams. */
    public StreamOrigins() {
        this(MAX_STREAMS);
    }

    /**
     * Creates a memory.
     *
     * @param maxStreams the maximum number of streams
     */
    public StreamOrigins(int maxStreams) {
        this.maxStreams = maxStreams;
    }

    /**
     * Remembers a stream. If another origin is remembered for its id, two streams have the same id, and neither origin
     * is returned any more.
     *
     * @param stream the stream; ignored if it is not {@link StreamKey#memorable}
     * @param origin what began it
     * @param untilMillis until when it is remembered, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void remember(StreamKey stream, StreamOrigin origin, long untilMillis, long nowMillis) {
        if (!stream.memorable() || origin.softwareVersion().isEmpty()) {
            return;
        }
        Entry known = entries.remove(stream);
        boolean current = known != null && known.untilMillis > nowMillis;
        Optional<StreamOrigin> remembered = Optional.of(origin);
        if (current && !known.origin.equals(remembered)) {
            remembered = Optional.empty();
        }
        entries.put(stream, new Entry(remembered, current ? Math.max(known.untilMillis, untilMillis) : untilMillis));
        if (entries.size() > maxStreams) {
            Iterator<StreamKey> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns what began a stream.
     *
     * @param stream the stream
     * @param nowMillis the current time, in milliseconds
     * @return the origin, empty if it is not known
     */
    public Optional<StreamOrigin> find(StreamKey stream, long nowMillis) {
        Entry known = entries.get(stream);
        return known == null || known.untilMillis <= nowMillis ? Optional.empty() : known.origin;
    }

    /**
     * Returns how long a stream will still be remembered.
     *
     * @param stream the stream
     * @param nowMillis the current time, in milliseconds
     * @return the time in milliseconds, 0 if it is not known
     */
    public long remainingMillis(StreamKey stream, long nowMillis) {
        Entry known = entries.get(stream);
        return known == null ? 0 : Math.max(0, known.untilMillis - nowMillis);
    }

    /**
     * Passes on the streams that are remembered.
     *
     * @param nowMillis the current time, in milliseconds
     * @param consumer receives each stream with its origin
     */
    public void forEach(long nowMillis, BiConsumer<StreamKey, StreamOrigin> consumer) {
        entries.forEach((stream, entry) -> {
            if (entry.untilMillis > nowMillis) {
                entry.origin.ifPresent(origin -> consumer.accept(stream, origin));
            }
        });
    }

    /**
     * Forgets streams that can no longer be taken up.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void expire(long nowMillis) {
        entries.values().removeIf(entry -> entry.untilMillis <= nowMillis);
    }

    /**
     * Returns the number of streams that are remembered.
     *
     * @return the number
     */
    public int size() {
        return entries.size();
    }
}
