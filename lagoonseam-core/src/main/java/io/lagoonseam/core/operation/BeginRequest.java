package io.lagoonseam.core.operation;

import io.lagoonseam.core.configuration.Tier;

/**
 * A request to begin a non-idempotent operation.
 *
 * @param key the operation
 * @param attemptId the id of this attempt; a retry after a lost reply carries the same id
 * @param tier the tier of the request; intents of higher tiers are written first
 * @param waitMillis the maximum time to wait for the journal, in milliseconds
 */
public record BeginRequest(OperationKey key, String attemptId, Tier tier, long waitMillis) {}
