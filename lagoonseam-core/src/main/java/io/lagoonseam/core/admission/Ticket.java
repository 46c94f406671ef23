package io.lagoonseam.core.admission;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;

/**
 * A request as admission sees it.
 *
 * @param id the request's id
 * @param workspace its workspace
 * @param requestClass its class
 * @param serviceLevel the targets of its class
 * @param arrivalMillis the monotonic time of its arrival
 * @param deadlineMillis the monotonic time by which it must begin
 */
public record Ticket(
        String id,
        String workspace,
        RequestClass requestClass,
        ServiceLevel serviceLevel,
        long arrivalMillis,
        long deadlineMillis) {}
