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
 * What a peer transport works with.
 *
 * @param nodeId the name of this node
 * @param address where it listens
 * @param tls the certificates, or empty for plain connections
 * @param resolver finds the address of a node by its name; called on an event loop
 * @param handlers the threads that handlers and continuations run on
 * @param time the clocks
 * @param registry the metrics
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
