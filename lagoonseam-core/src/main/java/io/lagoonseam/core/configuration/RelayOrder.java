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
 * The order in which the nodes of a data centre take the relay's role, by rendezvous hash, and the tree along which a
 * new generation is announced.
 *
 * @param nodeIds the nodes, first the one that takes the role before all others
 */
public record RelayOrder(List<String> nodeIds) {

    /** The relays of a data centre. */
    public static final int RELAYS = 2;

    /** The nodes that may become relays while those before them are cut off. */
    public static final int CANDIDATES = 4;

    private static final String ROLE = "configuration";
    private static final int FAN_OUT = 2;

    /** Copies the list. */
    public RelayOrder {
        nodeIds = List.copyOf(nodeIds);
    }

    /**
     * Orders the members of a data centre.
     *
     * @param members the live members
     * @return the order, the same at each node that knows the same members
     */
    public static RelayOrder of(List<Member> members) {
        Set<String> nodeIds = members.stream().map(Member::nodeId).collect(Collectors.toSet());
        return new RelayOrder(Rendezvous.order(ROLE, nodeIds, Function.identity()));
    }

    /**
     * Returns the nodes that act as relays: the first {@value #RELAYS} that see the platform, and those before them,
     * which may see it again.
     *
     * @param seesPlatform whether a node is believed to see the platform
     * @return at most {@value #CANDIDATES} nodes in order
     */
    public List<String> acting(Predicate<String> seesPlatform) {
        List<String> acting = new ArrayList<>();
        int seeing = 0;
        for (String nodeId : nodeIds.subList(0, Math.min(CANDIDATES, nodeIds.size()))) {
            if (seeing == RELAYS) {
                break;
            }
            acting.add(nodeId);
            if (seesPlatform.test(nodeId)) {
                seeing++;
            }
        }
        return acting;
    }

    /**
     * Returns the nodes that a node announces a new generation to.
     *
     * @param nodeId the node
     * @return its children; every node but the first two is the child of exactly one
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
