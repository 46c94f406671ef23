package io.lagoonseam.entry.upstream;

import io.vertx.core.buffer.Buffer;

/**
 * A model request, sent to a model engine.
 *
 * @param requestId the id sent to the engine; an answer with another id is rejected as mismatched
 * @param priority the priority; lower values are more urgent
 * @param body the JSON body
 * @param prompt the text of the last message, for routing by cached prefix
 * @param idleTimeoutMillis the longest time without a received byte, in milliseconds
 */
public record GenerateRequest(String requestId, int priority, Buffer body, String prompt, long idleTimeoutMillis) {}
