package io.lagoonseam.core.ratelimit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Determines which share of a limit this node may issue. There is no election: nodes may disagree for a while on who
 * the first issuer of a service is. A node therefore issues the whole limit only after it has been the first for longer
 * than such a disagreement lasts, and a small share as a new first issuer or as the substitute of a silent one. Not
 * thread-safe.
 */
public final class IssuerStanding {

    /** The number of nodes that may issue permits for a service: the first, and its substitute. */
    public static final int MAX_ISSUERS = 2;

    /**
     * The share of a substitute or new issuer. Together with the whole limit that another one may issue, it stays below
     * the one and a half times the limit that workers tolerate.
     */
    static final double PROVISIONAL_SHARE = 0.25;

    /**
     * How long a node has to have been the first, in milliseconds: nodes learn of others within a few seconds, if not
     * from the store then from their peers.
     */
    static final long PROBATION_MILLIS = 10_000;

    private final String ownId;
    private final BiFunction<String, Map<String, Integer>, List<String>> ranking;
    private final Deque<View> views = new ArrayDeque<>();
    private long knownSinceMillis;

    /** The nodes as they were known from a point in time on. */
    private final class View {
        private final Map<String, Integer> capacityByNode;
        private final long sinceMillis;
        private final Map<String, List<String>> issuersByService = new HashMap<>();

        View(Map<String, Integer> capacityByNode, long sinceMillis) {
            this.capacityByNode = Map.copyOf(capacityByNode);
            this.sinceMillis = sinceMillis;
        }

        List<String> issuers(String service) {
            return issuersByService.computeIfAbsent(service, name -> {
                List<String> ranked = ranking.apply(name, capacityByNode);
                return List.copyOf(ranked.subList(0, Math.min(MAX_ISSUERS, ranked.size())));
            });
        }

        boolean isFirst(String node, String service) {
            return !issuers(service).isEmpty() && issuers(service).get(0).equals(node);
        }
    }

    /**
     * Creates the standing of a node that has just started.
     *
     * @param ownId the id of this node
     * @param ranking ranks the nodes for a service by their capacities, alike on all nodes that know the same nodes
     * @param nowMillis the current time, in milliseconds
     */
    public IssuerStanding(
            String ownId, BiFunction<String, Map<String, Integer>, List<String>> ranking, long nowMillis) {
        this.ownId = ownId;
        this.ranking = ranking;
        this.knownSinceMillis = nowMillis;
    }

    /**
     * Sets the nodes that may issue permits.
     *
     * @param capacityByNode the processor capacity of each node by its id; empty if they are unknown
     * @param nowMillis the current time, in milliseconds
     */
    public void nodes(Map<String, Integer> capacityByNode, long nowMillis) {
        View last = views.peekLast();
        if (last == null || !last.capacityByNode.equals(capacityByNode)) {
            views.addLast(new View(capacityByNode, nowMillis));
        }
        Iterator<View> iterator = views.iterator();
        iterator.next();
        int ended = 0;
        while (iterator.hasNext() && iterator.next().sinceMillis <= nowMillis - PROBATION_MILLIS) {
            ended++;
        }
        for (int index = 0; index < ended; index++) {
            views.removeFirst();
        }
    }

    /**
     * Returns the nodes that may issue permits for a service, as this node sees it.
     *
     * @param service the name of the service
     * @return their ids, the first issuer first
     */
    public List<String> issuers(String service) {
        return views.isEmpty() ? List.of() : views.getLast().issuers(service);
    }

    /**
     * Returns the share of a limit that this node may issue.
     *
     * @param service the name of the service of the worker with the limit
     * @param nowMillis the current time, in milliseconds
     * @return a number from 0 to 1
     */
    public double share(String service, long nowMillis) {
        if (!issuers(service).contains(ownId)) {
            return 0;
        }
        boolean proven = nowMillis - knownSinceMillis >= PROBATION_MILLIS
                && views.stream().allMatch(view -> view.isFirst(ownId, service));
        return proven ? 1 : PROVISIONAL_SHARE;
    }

    /**
     * Starts anew, since this node did not run for a while and others may have taken its place.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void reset(long nowMillis) {
        knownSinceMillis = nowMillis;
    }
}
