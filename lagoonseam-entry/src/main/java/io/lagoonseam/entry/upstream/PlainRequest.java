package io.lagoonseam.entry.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/**
 * A request to a plain service.
 *
 * @param requestId the id that the answer must carry
 * @param method the HTTP method
 * @param path the path and query at the service
 * @param contentType the content type of the body
 * @param idempotencyKey the caller's key, as the upstream gets it
 * @param body the body
 * @param silenceMillis the longest time without an answer
 */
public record PlainRequest(
        String requestId,
        HttpMethod method,
        String path,
        String contentType,
        Optional<String> idempotencyKey,
        Buffer body,
        long silenceMillis) {}
