package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.entry.upstream.PlainAnswer;

/** Where the answer to a caller goes. All calls come on the caller's context; exactly one of them is the last. */
public interface AnswerSink {

    /**
     * Takes one token of the answer.
     *
     * @param text its text
     */
    void token(String text);

    /**
     * Ends a generated answer.
     *
     * @param tokens the number of its tokens
     */
    void completed(int tokens);

    /**
     * Ends with the answer of a plain service.
     *
     * @param answer the answer
     */
    void answered(PlainAnswer answer);

    /**
     * Ends with a refusal.
     *
     * @param refusal the refusal
     */
    void refused(Refusal refusal);
}
