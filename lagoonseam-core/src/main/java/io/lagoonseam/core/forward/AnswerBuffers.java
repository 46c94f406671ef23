package io.lagoonseam.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the bytes of workers' answers that a node holds until it can forward them. If they are too many, the largest
 * answer is given up: one that does not end grows until it is the largest, and small ones are served meanwhile. Not
 * thread-safe.
 *
 * @param <T> the type of what holds an answer
 */
public final class AnswerBuffers<T> {

    private final long maxBytes;
    private final long maxAnswerBytes;
    private final Map<T, Long> bytesByHolder = new HashMap<>();
    private long bytes;

    /**
     * Creates buffers that hold nothing.
     *
     * @param maxBytes the limit of all answers together, in bytes
     * @param maxAnswerBytes the limit of one answer, in bytes
     */
    public AnswerBuffers(long maxBytes, long maxAnswerBytes) {
        this.maxBytes = maxBytes;
        this.maxAnswerBytes = Math.min(maxBytes, maxAnswerBytes);
    }

    /**
     * Records how much of an answer is held.
     *
     * @param holder what holds the answer
     * @param heldBytes the number of bytes; 0 releases it
     * @return the holder whose answer has to be given up, and which has to be released, empty if none
     */
    public Optional<T> hold(T holder, long heldBytes) {
        Long before = heldBytes == 0 ? bytesByHolder.remove(holder) : bytesByHolder.put(holder, heldBytes);
        bytes += heldBytes - (before == null ? 0 : before);
        if (heldBytes > maxAnswerBytes) {
            return Optional.of(holder);
        }
        return bytes > maxBytes ? largest() : Optional.empty();
    }

    private Optional<T> largest() {
        return bytesByHolder.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    /**
     * Records that a holder holds no answer any more.
     *
     * @param holder the holder; ignored if it holds none
     */
    public void release(T holder) {
        hold(holder, 0);
    }

    /**
     * Returns the number of bytes that are held.
     *
     * @return the number of bytes
     */
    public long bytes() {
        return bytes;
    }
}
