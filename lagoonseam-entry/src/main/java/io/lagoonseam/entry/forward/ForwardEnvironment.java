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
 * @param settings the node's settings
 * @param protocol reads and writes headers
 * @param time the clocks
 * @param random randomness for spreading
 * @param events the log of decisions
 * @param registry the metrics
 */
public record ForwardEnvironment(
        Vertx vertx,
        NodeSettings settings,
        ForwardProtocol protocol,
        TimeSource time,
        Random random,
        DecisionLog events,
        MetricRegistry registry) {}
