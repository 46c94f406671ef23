package io.lagoonseam.core.limits;

import java.util.List;

/** Encodes the messages by which nodes share limits. */
public interface LimitCodec {

    /**
     * Encodes what a node asks for.
     *
     * @param demands the demands
     * @return the message
     */
    byte[] encodeDemands(List<LimitDemand> demands);

    /**
     * Decodes what a node asks for.
     *
     * @param encoded the message
     * @return the demands
     */
    List<LimitDemand> decodeDemands(byte[] encoded);

    /**
     * Encodes the answer of a home node.
     *
     * @param shares the shares
     * @return the message
     */
    byte[] encodeShares(List<LimitShare> shares);

    /**
     * Decodes the answer of a home node.
     *
     * @param encoded the message
     * @return the shares
     */
    List<LimitShare> decodeShares(byte[] encoded);
}
