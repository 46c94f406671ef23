package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.time.Timers;
import java.util.concurrent.Executor;

/**
 * The collaborators of a {@link ConfigurationFollower}.
 *
 * @param store the platform
 * @param transport sends messages to other nodes and receives theirs
 * @param members the nodes of the data centre
 * @param timers schedules delayed tasks
 * @param executor runs the follower's tasks, possibly on several threads
 * @param time the clocks
 * @param events the sink of numbered events
 * @param seed the seed of the backoff jitter
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
