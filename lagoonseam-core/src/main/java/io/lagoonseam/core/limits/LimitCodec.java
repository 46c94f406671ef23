package io.lagoonseam.core.limits;

import java.util.List;

/** Encodes and decodes the messages with which nodes share workspace limits. */
public interface LimitCodec {

    /**
     * Encodes the demands of a node.
     *
     * @param demands the demands
     * @return the encoded message
     */
    byte[] encodeDemands(List<LimitDemand> demands);

    /**
     * Decodes the demands of a node.
     *
     * @param encoded the encoded message
     * @return the demands
     */
    List<LimitDemand> decodeDemands(byte[] encoded);

    /**
     * Encodes the shares granted by a home node.
     *
     * @param shares the shares
     * @return the encoded message
     */
    byte[] encodeShares(List<LimitShare> shares);

    /**
     * Decodes the shares granted by a home node.
     *
     * @param encoded the encoded message
     * @return the shares
     */
    List<LimitShare> decodeShares(byte[] encoded);
}
