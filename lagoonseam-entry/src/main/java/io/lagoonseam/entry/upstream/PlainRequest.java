package io.lagoonseam.entry.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/**
 * A request to a plain service.
 *
 * @param requestId the id sent to the service; an answer with another id is rejected as mismatched
 * @param method the HTTP method
 * @param path the path and query on the service
 * @param contentType the content type of the body
 * @param idempotencyKey the value of the Idempotency-Key header sent to the upstream, if any
 * @param body the body
 * @param idleTimeoutMillis the longest time without traffic before the attempt fails, in milliseconds
 */
public record PlainRequest(
        String requestId,
        HttpMethod method,
        String path,
        String contentType,
        Optional<String> idempotencyKey,
        Buffer body,
        long idleTimeoutMillis) {}
