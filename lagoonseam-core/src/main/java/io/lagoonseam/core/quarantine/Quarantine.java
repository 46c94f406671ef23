package io.lagoonseam.core.quarantine;

import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Tells which requests are not to be sent, since workers crash under them, and learns from what becomes of others. */
public interface Quarantine {

    /** A quarantine that never holds. */
    Quarantine NONE = new Quarantine() {
        private final DigestKey key = DigestKey.draw(0);

        @Override
        public DigestKey key() {
            return key;
        }

        @Override
        public Set<Suspect> inForce(Set<Suspect> suspects) {
            return Set.of();
        }

        @Override
        public CompletionStage<Boolean> tryOnce(Set<Suspect> suspects, long caller) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public void crashed(Set<Suspect> suspects, long caller, WorkerIncarnation worker, long sentMillis) {
            // nothing is remembered
        }

        @Override
        public void answered(Set<Suspect> suspects, long beganMillis) {
            // nothing is remembered
        }
    };

    /**
     * Returns the key of the digests of requests.
     *
     * @return the key, which may change while nodes agree on one
     */
    DigestKey key();

    /**
     * Returns for which of its suspects a request is not to be sent.
     *
     * @param suspects the suspects of the request
     * @return those in quarantine
     */
    Set<Suspect> inForce(Set<Suspect> suspects);

    /**
     * Asks for a request to be let through, to see whether a worker answers it. All nodes together let one through at a
     * time.
     *
     * @param suspects the suspects of the request that are in quarantine
     * @param caller a hash of its caller
     * @return whether it may be sent once; never fails
     */
    CompletionStage<Boolean> tryOnce(Set<Suspect> suspects, long caller);

    /**
     * Records that a worker crashed while it had a request.
     *
     * @param suspects the suspects of the request
     * @param caller a hash of its caller
     * @param worker the lifetime that has ended
     * @param sentMillis when the request was sent to it, on the monotonic clock, in milliseconds
     */
    void crashed(Set<Suspect> suspects, long caller, WorkerIncarnation worker, long sentMillis);

    /**
     * Records a whole answer with a success.
     *
     * @param suspects the suspects of the request
     * @param beganMillis when the worker began the answer, on the monotonic clock, in milliseconds
     */
    void answered(Set<Suspect> suspects, long beganMillis);
}
