package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.RequestQueue;
import io.lagoonseam.core.forward.ServiceRetryBudget;
import io.lagoonseam.core.forward.ServiceWorkers;

/**
 * The state of one service at this node.
 *
 * @param workers its workers
 * @param queuedRequests the requests that wait at this node, since no home places them
 * @param retryBudget its retry budget
 */
record ServiceQueue(
        ServiceWorkers workers, RequestQueue<ForwardedRequest> queuedRequests, ServiceRetryBudget retryBudget) {}
