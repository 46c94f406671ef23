package io.lagoonseam.entry.forward;

import io.lagoonseam.wire.DetourMessages.Outcome;
import io.vertx.core.MultiMap;
import java.util.Set;

/** Who has sent a request to this node: a caller, or another node for its caller. */
interface RequestSource {

    /** A caller. */
    RequestSource CALLER = new RequestSource() {
        @Override
        public boolean mayDetour() {
            return true;
        }

        @Override
        public boolean counts() {
            return true;
        }

        @Override
        public boolean letThrough() {
            return false;
        }

        @Override
        public MultiMap callerHeaders(MultiMap headers) {
            return headers;
        }

        @Override
        public Set<String> triedWorkers() {
            return Set.of();
        }

        @Override
        public void addOutcome(MultiMap headers, Outcome outcome) {
            // callers learn from the status
        }
    };

    /** Returns whether the request may be sent through another node, which is allowed once. */
    boolean mayDetour();

    /** Returns whether this node counts the request for its part of the retry budget. */
    boolean counts();

    /** Returns whether another node has asked the quarantine to let the request through. */
    boolean letThrough();

    /** Returns those headers of a request that are the caller's. */
    MultiMap callerHeaders(MultiMap headers);

    /** Returns the workers that have been tried. */
    Set<String> triedWorkers();

    /** Adds what became of the request to the headers of the response, if the source wants to know it. */
    void addOutcome(MultiMap headers, Outcome outcome);
}
