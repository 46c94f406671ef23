package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.List;

/**
 * The segments of a prompt, in order. Leading segments may be shared with other requests; the last one is specific to
 * the request or its session.
 */
public final class PromptSegments {

    /** The prompt of a request that names no segments. */
    public static final PromptSegments NONE = new PromptSegments(List.of());

    private final List<Segment> segments;
    private final int tokens;
    private final long prefixHash;

    /**
     * Creates a prompt.
     *
     * @param segments its segments, in order
     */
    public PromptSegments(List<Segment> segments) {
        this.segments = List.copyOf(segments);
        this.tokens = segments.stream().mapToInt(Segment::tokens).sum();
        this.prefixHash = segments.isEmpty()
                ? 0
                : Rendezvous.hash(segments.get(Math.max(0, segments.size() - 2)).id());
    }

    /**
     * A segment of a prompt.
     *
     * @param id its identifier, the same in every prompt that contains the segment
     * @param tokens its size, in tokens
     */
    public record Segment(String id, int tokens) {}

    /**
     * Returns the segments.
     *
     * @return the segments, in order
     */
    public List<Segment> segments() {
        return segments;
    }

    /**
     * Returns the size of the prompt.
     *
     * @return the tokens of all segments
     */
    public int tokens() {
        return tokens;
    }

    /**
     * Returns the size of the prefix that other requests may share.
     *
     * @return the tokens of all segments but the last; 0 if there are fewer than two
     */
    public int prefixTokens() {
        return segments.size() < 2
                ? 0
                : tokens - segments.get(segments.size() - 1).tokens();
    }

    /**
     * Returns what the choice of a worker has to know of the prompt.
     *
     * @return the shape
     */
    public PromptShape shape() {
        return new PromptShape(prefixHash, prefixTokens(), tokens);
    }

    /**
     * Returns the prefix hash, which is the same for all requests with the same prefix.
     *
     * @return a hash of the last prefix segment, or of the only segment; 0 without segments
     */
    public long prefixHash() {
        return prefixHash;
    }
}
