package io.lagoonseam.entry.peer;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.tls.TlsFiles;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Function;

/**
 * The settings and collaborators of a peer transport.
 *
 * @param nodeId the id of this node
 * @param address the address to listen on
 * @param tls the files of certificates and keys, or empty for connections without TLS
 * @param resolver resolves the name of a node to its address; called on the event loop, so it must not block
 * @param handlers the threads that run message handlers and the continuations of replies
 * @param time the wall clock and the monotonic clock
 * @param registry the registry of the transport's counters
 * @param events the sink of numbered events
 */
public record PeerTransportOptions(
        String nodeId,
        ListenAddress address,
        Optional<TlsFiles> tls,
        Function<String, Optional<PeerAddress>> resolver,
        Executor handlers,
        TimeSource time,
        MetricRegistry registry,
        EventSink events) {}
