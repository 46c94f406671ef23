package io.lagoonseam.core.placement;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.time.TimeSource;
import java.util.function.Supplier;

/**
 * What placement works with.
 *
 * @param store the platform
 * @param leaseCodec the codec of leases
 * @param leaseOptions the times of leases
 * @param time the clocks
 * @param tokens makes a new token for each write
 * @param engines reads and orders engines
 * @param events the sink of numbered events
 */
public record PlacementEnvironment(
        ObjectStore store,
        LeaseCodec leaseCodec,
        LeaseOptions leaseOptions,
        TimeSource time,
        Supplier<String> tokens,
        EngineControl engines,
        EventSink events) {}
