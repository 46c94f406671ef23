package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.entry.upstream.PlainAnswer;

/**
 * Writes the answer to a caller. All methods are called on the caller's context. Exactly one call of
 * {@link #completed}, {@link #answered} or {@link #refused} ends the answer.
 */
public interface AnswerSink {

    /**
     * Writes one token of a generated answer.
     *
     * @param text the text of the token
     */
    void token(String text);

    /**
     * Ends a generated answer that is complete.
     *
     * @param tokens the number of tokens in the complete answer
     */
    void completed(int tokens);

    /**
     * Writes the answer of a plain service and ends.
     *
     * @param answer the status, content type and body to write
     */
    void answered(PlainAnswer answer);

    /**
     * Writes a refusal and ends.
     *
     * @param refusal the event, HTTP status and verdict to report to the caller
     */
    void refused(Refusal refusal);
}
