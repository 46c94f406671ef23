package io.lagoonseam.entry.forward;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.time.TimeSource;
import io.vertx.core.Vertx;
import java.util.Random;

/**
 * The shared dependencies of a node's components.
 *
 * @param vertx the Vert.x instance that owns the event loop
 * @param current the settings in force, which change while the node runs
 * @param protocol reads and writes header sections
 * @param time the clocks
 * @param random the source of random numbers for load spreading and jitter
 * @param events the log of events and decisions
 * @param registry the metrics
 */
public record ForwardEnvironment(
        Vertx vertx,
        CurrentSettings current,
        ForwardProtocol protocol,
        TimeSource time,
        Random random,
        DecisionLog events,
        MetricRegistry registry) {

    /**
     * Returns the settings in force.
     *
     * @return the current settings; later changes do not appear in the returned object, which is immutable
     */
    public NodeSettings settings() {
        return current.get();
    }
}
