package io.lagoonseam.entry.forward;

import io.lagoonseam.entry.settings.ListenAddress;
import java.util.Optional;

/**
 * The header fields that this node adds to a request to a worker.
 *
 * @param workerId the id of the addressed worker
 * @param leftMillis the time left until the deadline, in milliseconds
 * @param urgency the rank of the request, 0 is the most urgent
 * @param workspace the workspace of the request, empty for an anonymous one
 * @param lastEventId the id of the event after which a stream is resumed, empty to start it
 * @param copyFrom the address of a worker with cached prefix segments of the prompt that the addressed worker may copy
 */
public record UpstreamHead(
        String workerId,
        long leftMillis,
        int urgency,
        String workspace,
        String lastEventId,
        Optional<ListenAddress> copyFrom) {}
