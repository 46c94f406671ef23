package io.lagoonseam.core.forward;

import java.util.Collection;
import java.util.Optional;

/**
 * Selects the worker with the fewest requests in flight relative to its slots. Workers in this node's data centre are
 * preferred at similar load. Ties are broken by the XOR of the worker's hash and this node's hash, so that nodes with
 * the same view of the load do not all select the same worker. A worker whose slots are all taken is skipped, since it
 * would queue or reject the request.
 */
public final class LeastLoadedChooser implements UpstreamChooser {

    /**
     * The penalty for a worker in another data centre, as a share of its slots; less than one request below 25 slots.
     */
    private static final double REMOTE_LOAD_PENALTY = 0.04;

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
            if (request.excludedWorkers().contains(worker.record().id())) {
                continue;
            }
            double slots = Math.max(1, worker.record().slots());
            double load = worker.inFlight(request.nowMillis()) / slots;
            if (load >= 1) {
                continue;
            }
            if (!worker.record().dataCentre().equals(request.dataCentre())) {
                load += Math.max(REMOTE_LOAD_PENALTY, ZoneToll.load(request, worker));
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
