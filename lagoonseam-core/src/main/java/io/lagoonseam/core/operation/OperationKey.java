package io.lagoonseam.core.operation;

/**
 * The identity of a non-idempotent operation.
 *
 * @param workspace the workspace in which the idempotency key is unique
 * @param key the caller's idempotency key
 * @param requestDigest the digest of the request that the idempotency key is bound to
 */
public record OperationKey(String workspace, String key, String requestDigest) {}
