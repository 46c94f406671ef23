package io.lagoonseam.core.resume;

/**
 * Identifies a stream over all attempts of its caller.
 *
 * @param workspace the workspace of the caller, empty if it is anonymous
 * @param requestId the id of the attempt that brought the first event
 */
public record StreamKey(String workspace, String requestId) {

    private static final int MAX_ID_LENGTH = 128;

    /**
     * Returns whether nodes remember the stream: its id is neither empty nor so long that it would occupy much memory.
     *
     * @return whether the stream can be found again
     */
    public boolean memorable() {
        return !requestId.isEmpty() && requestId.length() <= MAX_ID_LENGTH && workspace.length() <= MAX_ID_LENGTH;
    }

    /**
     * Returns the text by which nodes are ranked to remember the stream, the same at all nodes.
     *
     * @return the text
     */
    public String role() {
        return workspace + '/' + requestId;
    }
}
