package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.PromptParts;

/**
 * What a caller says beside the path and the body.
 *
 * @param requestId the id of this attempt of the caller, empty if it names none
 * @param key its key, empty if it sent none
 * @param waitMillis how long the caller waits, 0 if it does not say
 * @param prompt the parts of its prompt
 * @param lastEventId the last event that the caller has of this stream, empty if it has none
 */
public record CallerHead(String requestId, String key, long waitMillis, PromptParts prompt, String lastEventId) {}
