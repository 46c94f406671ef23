package io.lagoonseam.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.zip.CRC32;

/** The text that an engine generates, which follows from the prompt so that a caller can check its answer. */
public final class AnswerText {

    private static final double LOG_MEAN_TOKENS = 3.4;
    private static final double LOG_DEVIATION = 0.7;
    private static final int MIN_TOKENS = 3;
    private static final int MAX_TOKENS = 600;

    private AnswerText() {}

    /**
     * Returns the tag that every token of an answer carries.
     *
     * @param prompt the last message of the prompt
     * @return eight hexadecimal digits
     */
    public static String tag(String prompt) {
        return String.format("%08x", checksum(prompt));
    }

    /**
     * Returns one token.
     *
     * @param tag the tag of the answer
     * @param index the token's place, from 0
     * @return the token's text
     */
    public static String token(String tag, int index) {
        return tag + "." + index + " ";
    }

    /**
     * Returns the whole text of an answer.
     *
     * @param prompt the last message of the prompt
     * @param tokens the number of tokens
     * @return the text
     */
    public static String whole(String prompt, int tokens) {
        String tag = tag(prompt);
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(tag, index));
        }
        return text.toString();
    }

    /**
     * Returns the length of an answer, log-normal over prompts.
     *
     * @param prompt the last message of the prompt
     * @param maxTokens the caller's limit
     * @return the number of tokens
     */
    public static int length(String prompt, int maxTokens) {
        double drawn = Math.exp(LOG_MEAN_TOKENS + LOG_DEVIATION * new Random(checksum(prompt)).nextGaussian());
        long bounded = Math.max(MIN_TOKENS, Math.min(MAX_TOKENS, Math.round(drawn)));
        return (int) Math.min(bounded, maxTokens);
    }

    private static long checksum(String prompt) {
        CRC32 checksum = new CRC32();
        checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }
}
