package io.lagoonseam.entry.upstream;

import io.vertx.core.buffer.Buffer;

/**
 * The answer of a plain service.
 *
 * @param status the HTTP status code
 * @param contentType the value of the Content-Type header
 * @param body the complete body
 */
public record PlainAnswer(int status, String contentType, Buffer body) {}
