package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.time.Timers;
import java.util.concurrent.Executor;

/**
 * What a follower works with.
 *
 * @param store the platform
 * @param transport messages to and from other nodes
 * @param members the nodes of the data centre
 * @param timers runs tasks later
 * @param executor runs decisions, perhaps on several threads
 * @param time the clocks
 * @param events the sink of numbered events
 * @param seed the seed of the backoff's jitter
 */
public record FollowerEnvironment(
        ObjectStore store,
        PeerTransport transport,
        MemberDirectory members,
        Timers timers,
        Executor executor,
        TimeSource time,
        EventSink events,
        long seed) {}
