package io.lagoonseam.entry.forward;

import io.lagoonseam.wire.DetourMessages.Outcome;
import io.lagoonseam.wire.DetourMessages.Terms;
import io.vertx.core.MultiMap;
import java.util.Set;

/** Another node that has sent a request, since it is cut off from the workers. */
final class PeerSource implements RequestSource {

    private final Terms terms;

    PeerSource(Terms terms) {
        this.terms = terms;
    }

    @Override
    public boolean mayDetour() {
        return false;
    }

    @Override
    public boolean counts() {
        return terms.counts();
    }

    @Override
    public boolean letThrough() {
        return terms.letThrough();
    }

    @Override
    public MultiMap callerHeaders(MultiMap headers) {
        return DetourHeader.without(headers);
    }

    @Override
    public Set<String> triedWorkers() {
        return Set.copyOf(terms.triedWorkers());
    }

    @Override
    public void addOutcome(MultiMap headers, Outcome outcome) {
        DetourHeader.write(headers, outcome);
    }
}
