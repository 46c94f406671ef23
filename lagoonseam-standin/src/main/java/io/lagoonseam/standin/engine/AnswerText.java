package io.lagoonseam.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.zip.CRC32;

/**
 * Generates the answers of a stand-in engine. An answer is a function of its prompt, so that a caller can verify it.
 */
public final class AnswerText {

    private static final double LOG_MEAN_TOKENS = 3.4;
    private static final double LOG_STANDARD_DEVIATION = 0.7;
    private static final int MIN_TOKENS = 3;
    private static final int MAX_TOKENS = 600;

    private AnswerText() {}

    /**
     * Returns the tag that is part of every token of an answer.
     *
     * @param prompt the last message of the prompt
     * @return the CRC-32 checksum of the prompt as eight hexadecimal digits
     */
    public static String tag(String prompt) {
        return String.format("%08x", checksum(prompt));
    }

    /**
     * Returns the text of one token.
     *
     * @param tag the tag of the answer, see {@link #tag}
     * @param index the index of the token in the answer, from 0
     * @return the text of the token, with a trailing space
     */
    public static String token(String tag, int index) {
        return tag + "." + index + " ";
    }

    /**
     * Returns the complete text of an answer.
     *
     * @param prompt the last message of the prompt
     * @param tokens the number of tokens
     * @return the texts of all tokens, concatenated
     */
    public static String completeText(String prompt, int tokens) {
        String tag = tag(prompt);
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(tag, index));
        }
        return text.toString();
    }

    /**
     * Returns the length of an answer. Lengths are distributed log-normally over prompts, between 3 and 600 tokens.
     *
     * @param prompt the last message of the prompt
     * @param maxTokens the limit of the caller, in tokens
     * @return the number of tokens, at most {@code maxTokens}
     */
    public static int length(String prompt, int maxTokens) {
        double sample =
                Math.exp(LOG_MEAN_TOKENS + LOG_STANDARD_DEVIATION * new Random(checksum(prompt)).nextGaussian());
        long bounded = Math.max(MIN_TOKENS, Math.min(MAX_TOKENS, Math.round(sample)));
        return (int) Math.min(bounded, maxTokens);
    }

    private static long checksum(String prompt) {
        CRC32 checksum = new CRC32();
        checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }
}
