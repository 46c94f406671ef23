package io.lagoonseam.core.membership;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.TimeSource;
import java.util.random.RandomGenerator;

/**
 * What a member directory works with.
 *
 * @param transport sends to other nodes and answers theirs
 * @param codec turns messages into bytes
 * @param piggybacks the numbers that ride on each message
 * @param time the clocks
 * @param random the source of random choices, used under the directory's lock only
 * @param events the sink of numbered events
 * @param timings the times of the protocol
 */
public record MembershipEnvironment(
        PeerTransport transport,
        MembershipCodec codec,
        PiggybackRegistry piggybacks,
        TimeSource time,
        RandomGenerator random,
        EventSink events,
        MembershipTimings timings) {}
