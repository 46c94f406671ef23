package io.lagoonseam.core.configuration;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.membership.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The order in which the nodes of a data centre become relays, by rendezvous hash, and the tree along which a new
 * generation is announced to them.
 *
 * @param nodeIds the ids of the nodes, in descending order of priority
 */
public record RelayOrder(List<String> nodeIds) {

    /** The number of relays in a data centre. */
    public static final int RELAYS = 2;

    /**
     * The number of nodes at the head of the order that can be relays: the regular ones and those that replace them
     * when they cannot reach the platform.
     */
    public static final int CANDIDATES = 4;

    private static final String ROLE = "configuration";
    private static final int FAN_OUT = 2;

    /** Creates an order with a copy of the list. */
    public RelayOrder {
        nodeIds = List.copyOf(nodeIds);
    }

    /**
     * Determines the order of the members of a data centre.
     *
     * @param members the live members of the data centre
     * @return the order; nodes with the same members compute the same order
     */
    public static RelayOrder of(List<Member> members) {
        Set<String> nodeIds = members.stream().map(Member::nodeId).collect(Collectors.toSet());
        return new RelayOrder(Rendezvous.sortByRank(ROLE, nodeIds, Function.identity()));
    }

    /**
     * Returns the active relays: the first {@value #RELAYS} candidates that can reach the platform, and the candidates
     * before them, because these may reach it again.
     *
     * @param reachesPlatform returns whether a node is presumed to reach the platform
     * @return the ids of at most {@value #CANDIDATES} nodes, in order
     */
    public List<String> activeRelays(Predicate<String> reachesPlatform) {
        List<String> relays = new ArrayList<>();
        int reachable = 0;
        for (String nodeId : nodeIds.subList(0, Math.min(CANDIDATES, nodeIds.size()))) {
            if (reachable == RELAYS) {
                break;
            }
            relays.add(nodeId);
            if (reachesPlatform.test(nodeId)) {
                reachable++;
            }
        }
        return relays;
    }

    /**
     * Returns the nodes to which a node announces a new generation.
     *
     * @param nodeId the id of the node
     * @return the ids of its children; each node except the first two is the child of exactly one node
     */
    public List<String> children(String nodeId) {
        int index = nodeIds.indexOf(nodeId);
        if (index < 0) {
            return List.of();
        }
        int first = FAN_OUT * index + RELAYS;
        int end = Math.min(nodeIds.size(), first + FAN_OUT);
        return first >= end ? List.of() : nodeIds.subList(first, end);
    }
}
