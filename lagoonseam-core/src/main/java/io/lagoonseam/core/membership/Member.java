package io.lagoonseam.core.membership;

/**
 * An entry node as known to the other nodes of its data centre.
 *
 * @param nodeId the id of the node
 * @param dataCentre the data centre of the node
 * @param host the IP address of the node
 * @param port the port that the node listens on for peers
 * @param incarnation a number that only the member itself increases, so that its own state overrides older updates
 * @param state the presumed state of the node
 */
public record Member(String nodeId, String dataCentre, String host, int port, long incarnation, MemberState state) {}
