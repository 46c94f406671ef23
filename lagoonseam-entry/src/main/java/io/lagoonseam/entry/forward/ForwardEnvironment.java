package io.lagoonseam.entry.forward;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.time.TimeSource;
import io.vertx.core.Vertx;
import java.util.Random;

/**
 * What the parts of a node work with.
 *
 * @param vertx the Vert.x of the event loop
 * @param current the node's settings, which change while it runs
 * @param protocol reads and writes headers
 * @param time the clocks
 * @param random randomness for spreading
 * @param events the log of decisions
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
     * @return the settings; what is kept of them does not follow a change
     */
    public NodeSettings settings() {
        return current.get();
    }
}
