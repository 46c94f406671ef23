package io.lagoonseam.core.ratelimit;

import java.util.OptionalDouble;

/**
 * What a node knows of the rate limit of a worker, for other nodes.
 *
 * @param worker the worker
 * @param perSecond the number of requests per second that it accepts from all nodes together, empty if it has ended its
 *     limit
 * @param ageMillis the time since the worker said so, in milliseconds
 */
public record LimitReport(WorkerIncarnation worker, OptionalDouble perSecond, long ageMillis) {}
