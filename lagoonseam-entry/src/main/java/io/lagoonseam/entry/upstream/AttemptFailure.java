package io.lagoonseam.entry.upstream;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.verdict.Verdict;

/**
 * Describes why an attempt failed.
 *
 * @param event the event code of the reason
 * @param verdict whether the attempt may have run on the upstream
 * @param message a description that is included in the refusal to the caller
 * @param resumable whether the upstream may still hold the stream, so that it can be resumed
 */
public record AttemptFailure(EventCode event, Verdict verdict, String message, boolean resumable) {}
