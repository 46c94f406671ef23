package io.lagoonseam.core.membership;

/**
 * A member of the cluster: one entry node as known to its peers.
 *
 * @param nodeId the id of the node
 * @param dataCentre the data centre of the node
 * @param host the IP address of the node
 * @param port the port that the node listens on for peers
 * @param incarnation a number that only the member itself increases, to refute a suspicion
 * @param state the presumed state of the node
 */
public record Member(String nodeId, String dataCentre, String host, int port, long incarnation, MemberState state) {}
