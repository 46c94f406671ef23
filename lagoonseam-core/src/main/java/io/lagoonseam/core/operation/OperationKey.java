package io.lagoonseam.core.operation;

/**
 * Names one non-idempotent operation.
 *
 * @param workspace the workspace that the caller's key belongs to
 * @param key the caller's idempotency key
 * @param requestDigest the digest of the request, to which the key is bound
 */
public record OperationKey(String workspace, String key, String requestDigest) {}
