package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns the streaming routes of each service, and its workers, to lanes. All nodes assign the same lanes, since they
 * have the same configuration and the same list of workers. A node that chooses workers by itself does not know how
 * long a prompt waits at each, so it keeps all requests with short objectives apart; a home knows it, and keeps only
 * those apart whose gaps between events long prompts would stretch.
 */
public final class LatencyLanes {

    /** A route is tolerant if its objective is more than this share of the longest objective of its service. */
    private static final double TOLERANT_SHARE = 0.5;

    /**
     * The share of workers reserved for sensitive requests, which account for about a third of the prompt tokens in the
     * known deployments and need spare capacity to meet their objectives.
     */
    private static final double SENSITIVE_WORKER_SHARE = 1.0 / 3;

    private static final long LANE_HASH = Rendezvous.hash("lanes");

    /**
     * At a home, streams are sensitive if their gap objective is at most this share of the longest of their service:
     * long prompts are sent to workers as long as streams with the longest gaps bear them there.
     */
    private static final double SENSITIVE_GAP_SHARE = 1.0 / 3;

    private final Map<String, Long> longestObjectiveMillis = new HashMap<>();
    private final Map<String, Long> longestGapMillis = new HashMap<>();

    /**
     * Creates the lanes for the routes of a configuration.
     *
     * @param routes all routes
     */
    public LatencyLanes(Collection<Route> routes) {
        for (Route route : routes) {
            if (route.kind().stream()) {
                for (WeightedService service : route.services()) {
                    longestObjectiveMillis.merge(service.service(), route.objectiveMillis(), Math::max);
                    longestGapMillis.merge(service.service(), route.gapObjectiveMillis(), Math::max);
                }
            }
        }
    }

    /**
     * Returns the lane of a route's requests at a service.
     *
     * @param route the route
     * @param service the name of the service
     * @return the lane
     */
    public Lane lane(Route route, String service) {
        long longest = longestObjectiveMillis.getOrDefault(service, 0L);
        return route.objectiveMillis() > TOLERANT_SHARE * longest ? Lane.TOLERANT : Lane.SENSITIVE;
    }

    /**
     * Returns the lane of a route's requests at a service whose home places them. A home knows how long a prompt waits
     * at each worker, so only streams that long prompts would stretch need workers of their own.
     *
     * @param route the route
     * @param service the name of the service
     * @return the lane
     */
    public Lane homeLane(Route route, String service) {
        long longest = longestGapMillis.getOrDefault(service, 0L);
        return route.kind().stream() && route.gapObjectiveMillis() <= SENSITIVE_GAP_SHARE * longest
                ? Lane.SENSITIVE
                : Lane.TOLERANT;
    }

    /**
     * Assigns the workers of a service to lanes, with a fixed share for each.
     *
     * @param workers all workers of the service that accept new requests
     */
    public static void assignWorkers(Collection<UpstreamState> workers) {
        assignWorkers(workers, SENSITIVE_WORKER_SHARE);
    }

    /**
     * Assigns the workers of a service to lanes. If the share changes, as few workers as possible change their lane.
     *
     * @param workers all workers of the service that accept new requests
     * @param sensitiveShare the share of workers for sensitive requests
     */
    public static void assignWorkers(Collection<UpstreamState> workers, double sensitiveShare) {
        List<UpstreamState> ordered = new ArrayList<>(workers);
        ordered.sort(Comparator.comparingLong(worker -> Rendezvous.mix(LANE_HASH, worker.hash())));
        boolean divided = ordered.size() >= 2 && sensitiveShare > 0;
        long sensitive = divided ? Math.max(1, Math.round(sensitiveShare * ordered.size())) : 0;
        for (int index = 0; index < ordered.size(); index++) {
            ordered.get(index).lane(index < sensitive ? Lane.SENSITIVE : Lane.TOLERANT);
        }
    }
}
