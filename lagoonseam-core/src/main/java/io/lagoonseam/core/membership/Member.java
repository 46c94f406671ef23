package io.lagoonseam.core.membership;

/**
 * One entry node as its peers see it.
 *
 * @param nodeId its name
 * @param dataCentre the data centre it is in
 * @param host its IP number
 * @param port its port for peers
 * @param incarnation a number that the member itself raises to refute a suspicion
 * @param state what is believed of it
 */
public record Member(String nodeId, String dataCentre, String host, int port, long incarnation, MemberState state) {}
