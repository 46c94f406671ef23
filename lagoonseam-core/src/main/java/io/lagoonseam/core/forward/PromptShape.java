package io.lagoonseam.core.forward;

/**
 * What the choice of a worker has to know of a prompt.
 *
 * @param prefixHash the prefix hash, which is the same for all requests with the same prefix; 0 without segments
 * @param prefixTokens the size of the prefix that other requests may share, in tokens; 0 if there is none
 * @param tokens the size of the whole prompt, in tokens
 */
public record PromptShape(long prefixHash, int prefixTokens, int tokens) {}
