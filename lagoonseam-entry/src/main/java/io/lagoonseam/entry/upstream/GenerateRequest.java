package io.lagoonseam.entry.upstream;

import io.vertx.core.buffer.Buffer;

/**
 * A request to generate, as it goes to an engine.
 *
 * @param requestId the id that the answer must carry
 * @param priority the priority, lower being more urgent
 * @param body the JSON body
 * @param prompt the text of the prompt, for prefix affinity
 * @param silenceMillis the longest time without a byte
 */
public record GenerateRequest(String requestId, int priority, Buffer body, String prompt, long silenceMillis) {}
