package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.operation.OperationJournal;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.upstream.UpstreamClient;
import java.util.concurrent.Executor;

/**
 * Collaborators and settings of a {@link Dispatcher}.
 *
 * @param decisions the executor of decisions about queues and workers
 * @param time the clock
 * @param upstreams the HTTP client for upstreams
 * @param journal the journal of non-idempotent operations
 * @param metrics the metrics of requests
 * @param invariants the monitor of invariants that are checked at run time
 * @param events the sink of numbered events
 * @param policies the admission and routing policies of each service
 * @param seed the seed of random choices and, until a node id is set, of this node's worker subset
 */
public record DispatchEnvironment(
        Executor decisions,
        TimeSource time,
        UpstreamClient upstreams,
        OperationJournal journal,
        RouterMetrics metrics,
        InvariantMonitor invariants,
        EventSink events,
        ServicePolicies policies,
        long seed) {}
