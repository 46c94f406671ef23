package io.lagoonseam.core.operation;

import io.lagoonseam.core.configuration.Tier;

/**
 * The wish to run one operation.
 *
 * @param key the operation
 * @param attemptId names this attempt; the same attempt may ask again when an answer was lost
 * @param tier the tier of the request; higher tiers are made durable first
 * @param waitMillis the longest wait for the journal
 */
public record BeginRequest(OperationKey key, String attemptId, Tier tier, long waitMillis) {}
