package io.lagoonseam.entry.forward;

import io.lagoonseam.entry.settings.ListenAddress;
import java.util.Optional;

/**
 * The header fields that this node adds to a request to a worker.
 *
 * @param workerId the id of the addressed worker
 * @param remainingMillis the time left until the deadline, in milliseconds
 * @param priority the rank of the request, 0 is the most urgent
 * @param workspace the workspace of the request, empty for an anonymous one
 * @param lastEventId the id of the event after which a stream is resumed, empty to start it
 * @param copyFrom the address of another worker from which the addressed worker may copy cached prefix segments of the
 *     prompt, empty for none
 */
public record UpstreamRequestHeaders(
        String workerId,
        long remainingMillis,
        int priority,
        String workspace,
        String lastEventId,
        Optional<ListenAddress> copyFrom) {}
