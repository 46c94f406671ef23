package io.lagoonseam.core.operation;

/**
 * The idempotency key of a non-idempotent operation, with the digest of the request that it is bound to.
 *
 * @param workspace the workspace in which the idempotency key is unique
 * @param key the caller's idempotency key
 * @param requestDigest the digest of the request that the idempotency key is bound to
 */
public record OperationKey(String workspace, String key, String requestDigest) {}
