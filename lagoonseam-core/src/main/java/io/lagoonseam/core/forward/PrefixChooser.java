package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Sends the requests that share a part of their prompt to the same worker, on every node alike, so that the part is
 * read once. The request leaves that worker only if it would miss its objective there and another one is sooner, the
 * reading of the shared part included.
 */
public final class PrefixChooser implements UpstreamChooser {

    /** The part of the objective that may pass before the first event; the rest covers the way and the uncertain. */
    private static final double OBJECTIVE_SHARE = 0.8;

    /** The most workers in the order of rendezvous hashing that keep one shared part in their caches. */
    private static final int HOMES = 2;

    @Override
    public Optional<Choice> choose(ChoiceRequest request, Collection<UpstreamState> workers) {
        List<UpstreamState> order = new ArrayList<>();
        for (UpstreamState worker : workers) {
            boolean full = worker.inFlight(request.nowMillis())
                    >= Math.max(1, worker.record().slots());
            if (!full && !request.avoided().contains(worker.record().id())) {
                order.add(worker);
            }
        }
        if (order.isEmpty()) {
            return Optional.empty();
        }
        long affinity = request.prompt().affinity();
        order.sort(Comparator.comparingLong((UpstreamState worker) -> Rendezvous.mix(affinity, worker.hash()))
                .reversed());
        double limitMillis = OBJECTIVE_SHARE * request.objectiveMillis();
        Choice soonest = null;
        double soonestMillis = Double.MAX_VALUE;
        for (int index = 0; index < order.size(); index++) {
            UpstreamState worker = order.get(index);
            Choice choice = choice(request, worker, index);
            double millis = worker.firstEventTime()
                    .expectedMillis(worker.pendingTokens(request.nowMillis()) + choice.tokensToRead());
            if (index < HOMES && millis <= limitMillis) {
                return Optional.of(choice);
            }
            if (millis < soonestMillis) {
                soonest = choice;
                soonestMillis = millis;
            }
        }
        return Optional.ofNullable(soonest);
    }

    private static Choice choice(ChoiceRequest request, UpstreamState worker, int index) {
        long tokens = request.prompt().tokens() - (index == 0 ? request.prompt().sharedTokens() : 0);
        return new Choice(worker, tokens, index == 0 ? "home" : "spill");
    }
}
