package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.operation.OperationJournal;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.upstream.UpstreamClient;
import java.util.concurrent.Executor;

/**
 * What a dispatcher works with.
 *
 * @param decisions the threads that run decisions
 * @param time the clocks
 * @param upstreams the client of upstreams
 * @param journal the journal of non-idempotent operations
 * @param metrics the metrics of requests
 * @param invariants the checks at run time
 * @param events the sink of numbered events
 * @param policies the policies of each service
 * @param seed the seed of random choices
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
