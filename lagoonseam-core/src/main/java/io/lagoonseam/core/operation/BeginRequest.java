package io.lagoonseam.core.operation;

import io.lagoonseam.core.configuration.Tier;

/**
 * A request to begin a non-idempotent operation.
 *
 * @param key the operation
 * @param attemptId the id of this attempt; a retry after a lost reply carries the same id
 * @param tier the tier of the request; intents of higher tiers are written first
 * @param waitMillis the maximum time to wait, in milliseconds, applied to the takeover of the shard and again to the
 *     result
 */
public record BeginRequest(OperationKey key, String attemptId, Tier tier, long waitMillis) {}
