package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.List;

/**
 * The parts of a prompt in their order. Requests share leading parts; the last one belongs to the request or to its
 * session.
 */
public final class PromptParts {

    /** A request that names no parts. */
    public static final PromptParts NONE = new PromptParts(List.of());

    private final List<Part> parts;
    private final int tokens;
    private final long affinity;

    /**
     * Creates the parts of a prompt.
     *
     * @param parts the parts in their order
     */
    public PromptParts(List<Part> parts) {
        this.parts = List.copyOf(parts);
        this.tokens = parts.stream().mapToInt(Part::tokens).sum();
        this.affinity = parts.isEmpty()
                ? 0
                : Rendezvous.hash(parts.get(Math.max(0, parts.size() - 2)).id());
    }

    /**
     * One part.
     *
     * @param id what it is named, alike in each prompt that holds it
     * @param tokens its size
     */
    public record Part(String id, int tokens) {}

    /**
     * Returns the parts.
     *
     * @return the parts in their order
     */
    public List<Part> parts() {
        return parts;
    }

    /**
     * Returns the size of the prompt.
     *
     * @return tokens of all parts
     */
    public int tokens() {
        return tokens;
    }

    /**
     * Returns the size of the parts that other requests share.
     *
     * @return tokens of all parts but the last
     */
    public int sharedTokens() {
        return parts.size() < 2 ? 0 : tokens - parts.get(parts.size() - 1).tokens();
    }

    /**
     * Returns what requests with the same shared parts have in common.
     *
     * @return a hash of the last shared part, or of the only part; 0 without parts
     */
    public long affinity() {
        return affinity;
    }
}
