package io.lagoonseam.core.forward;

import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the worker with the fewest requests for its slots; of equal ones a near one, and of those the one that
 * rendezvous hashing prefers for this node, so that nodes with equal views do not choose alike. A worker with as many
 * requests as slots gets none, since it would queue or reject them.
 */
public final class LeastLoadedChooser implements UpstreamChooser {

    /** What a worker in another data centre counts more, in parts of its slots: less than one request. */
    private static final double FAR_SHARE = 0.04;

    private final long nodeHash;

    /**
     * Creates a chooser.
     *
     * @param nodeHash the hash of this node's name
     */
    public LeastLoadedChooser(long nodeHash) {
        this.nodeHash = nodeHash;
    }

    @Override
    public Optional<Choice> choose(ChoiceRequest request, Collection<UpstreamState> workers) {
        UpstreamState best = null;
        double bestLoad = Double.MAX_VALUE;
        for (UpstreamState worker : workers) {
            if (request.avoided().contains(worker.record().id())) {
                continue;
            }
            double slots = Math.max(1, worker.record().slots());
            double load = worker.inFlight(request.nowMillis()) / slots;
            if (load >= 1) {
                continue;
            }
            if (!worker.record().dataCentre().equals(request.dataCentre())) {
                load += FAR_SHARE;
            }
            if (load < bestLoad || load == bestLoad && preferred(worker, best)) {
                best = worker;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(worker -> new Choice(worker, 0, Optional.empty(), "least-loaded"));
    }

    private boolean preferred(UpstreamState worker, UpstreamState other) {
        return (worker.hash() ^ nodeHash) > (other.hash() ^ nodeHash);
    }
}
