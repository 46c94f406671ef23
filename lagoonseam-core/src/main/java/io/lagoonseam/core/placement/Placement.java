package io.lagoonseam.core.placement;

import io.lagoonseam.core.forward.UpstreamState;
import java.util.Optional;

/** A request in flight at a worker, as its home knows it. Not thread-safe. */
final class Placement {

    final UpstreamState worker;
    /** The hash of its shared prefix, 0 if it has none. */
    final long prefixHash;

    /** The tokens of its shared prefix, 0 if they are unknown. */
    final int prefixTokens;

    final long promptTokens;
    final long tokensAhead;
    final int priority;
    final ExpectedAnswer answer;
    long unreadTokens;
    /** Whether its first event has arrived. */
    boolean read;

    /** How long its engine may have read by the time it ends, in milliseconds. */
    Optional<Double> readingLimit = Optional.empty();

    long firstEventMillis;
    /** How long its engine had read at its first event, in milliseconds. */
    double readBeforeMillis;

    Placement(
            UpstreamState worker,
            long prefixHash,
            int prefixTokens,
            long promptTokens,
            long tokensAhead,
            int priority,
            ExpectedAnswer answer,
            long unreadTokens) {
        this.worker = worker;
        this.prefixHash = prefixHash;
        this.prefixTokens = prefixTokens;
        this.promptTokens = promptTokens;
        this.tokensAhead = tokensAhead;
        this.priority = priority;
        this.answer = answer;
        this.unreadTokens = unreadTokens;
    }

    boolean hasPrefix() {
        return prefixHash != 0;
    }

    /** Returns the tokens of its prompt that no other request shares. */
    long unsharedTokens() {
        return promptTokens - prefixTokens;
    }
}
