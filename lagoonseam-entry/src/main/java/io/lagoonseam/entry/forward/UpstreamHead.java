package io.lagoonseam.entry.forward;

import io.lagoonseam.entry.settings.ListenAddress;
import java.util.Optional;

/**
 * What this node tells a worker beside what the caller sent.
 *
 * @param workerId the worker that is meant
 * @param leftMillis the time that is left
 * @param urgency the rank of the request, 0 is first
 * @param workspace the workspace of the request, empty for an anonymous one
 * @param lastEventId the event after which a stream goes on, empty to start it
 * @param copyFrom the worker that keeps parts of the prompt which the meant one may copy
 */
public record UpstreamHead(
        String workerId,
        long leftMillis,
        int urgency,
        String workspace,
        String lastEventId,
        Optional<ListenAddress> copyFrom) {}
