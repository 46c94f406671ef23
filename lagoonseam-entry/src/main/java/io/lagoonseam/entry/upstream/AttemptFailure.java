package io.lagoonseam.entry.upstream;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.verdict.Verdict;

/**
 * How an attempt failed.
 *
 * @param event the numbered reason
 * @param verdict whether the attempt may have had an effect
 * @param message the reason in words
 * @param resumable whether the upstream may still hold the stream
 */
public record AttemptFailure(EventCode event, Verdict verdict, String message, boolean resumable) {}
