package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.PromptSegments;
import java.util.Set;

/**
 * The fields of a caller's header section that the node evaluates.
 *
 * @param requestId the id that the caller gave this attempt of its request, empty if absent
 * @param apiKey the caller's API key, empty if absent
 * @param timeoutMillis the time until the caller's deadline, in milliseconds; 0 if not stated
 * @param prompt the segments of the prompt
 * @param sharedParts the ids of all parts of the prompt but the last, also of one whose sizes cannot be read
 * @param answerTokens the tokens that the answer may have; 0 if not stated
 * @param lastEventId the id of the last event of the stream that the caller has received, empty if it has received none
 * @param resumedRequestId the id of the attempt of the caller that brought the first event of the stream that it takes
 *     up, empty if it names none
 */
public record CallerRequestHeaders(
        String requestId,
        String apiKey,
        long timeoutMillis,
        PromptSegments prompt,
        Set<String> sharedParts,
        int answerTokens,
        String lastEventId,
        String resumedRequestId) {

    /** Copies the set. */
    public CallerRequestHeaders {
        sharedParts = Set.copyOf(sharedParts);
    }
}
