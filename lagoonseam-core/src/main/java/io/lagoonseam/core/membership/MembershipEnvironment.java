package io.lagoonseam.core.membership;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.TimeSource;
import java.util.random.RandomGenerator;

/**
 * Services and settings that a member directory uses.
 *
 * @param transport sends messages to other nodes and dispatches theirs
 * @param codec encodes and decodes the messages
 * @param piggybacks the values piggybacked on each message
 * @param time the clock
 * @param random the source of random numbers, used only while the directory's lock is held
 * @param events the sink of numbered events
 * @param timings the intervals and limits of the protocol
 */
public record MembershipEnvironment(
        PeerTransport transport,
        MembershipCodec codec,
        PiggybackRegistry piggybacks,
        TimeSource time,
        RandomGenerator random,
        EventSink events,
        MembershipTimings timings) {}
