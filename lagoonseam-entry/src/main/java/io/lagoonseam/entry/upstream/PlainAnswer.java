package io.lagoonseam.entry.upstream;

import io.vertx.core.buffer.Buffer;

/**
 * The answer of a plain service.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body
 */
public record PlainAnswer(int status, String contentType, Buffer body) {}
