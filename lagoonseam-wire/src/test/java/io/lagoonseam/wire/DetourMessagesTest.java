package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.wire.DetourMessages.Answer;
import io.lagoonseam.wire.DetourMessages.Ask;
import io.lagoonseam.wire.DetourMessages.Outcome;
import io.lagoonseam.wire.DetourMessages.Result;
import io.lagoonseam.wire.DetourMessages.RouteTerms;
import io.lagoonseam.wire.DetourMessages.Terms;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests that messages about detours are read as they were written, and damaged ones rejected. */
public class DetourMessagesTest {

    private static final int ROUNDS = 20_000;

    private static final Terms TERMS = new Terms(
            new RouteTerms("talk", 3, 6_000, 300, 200, 2, 0, 1),
            "llm",
            "studio",
            4,
            12,
            5_000,
            "r1",
            "v1",
            "17",
            List.of("e1", "e2"),
            true,
            false);

    private static final Outcome OUTCOME = new Outcome(Result.REFUSED, 1, 250, "v2", "no place");

    @Test
    public void readsWhatWasWritten() {
        assertEquals(Terms.decode(TERMS.encode()), TERMS);
        assertEquals(Outcome.decode(OUTCOME.encode()), OUTCOME);
        assertEquals(Ask.decode(new Ask("llm").encode()), new Ask("llm"));
        Answer answer = new Answer(false, 7, List.of("10.0.0.1:1", "10.0.0.2:1"));
        assertEquals(Answer.decode(answer.encode()), answer);
    }

    @Test
    public void rejectsDamagedMessagesOnlyAsIllegalArguments() {
        Random random = new Random(1);
        int rejected = 0;
        for (int round = 0; round < ROUNDS; round++) {
            rejected += rejects(Terms::decode, damage(TERMS.encode(), random));
            rejected += rejects(Outcome::decode, damage(OUTCOME.encode(), random));
        }
        assertTrue(rejected > ROUNDS / 4, rejected + " rejected");
    }

    private static byte[] damage(byte[] whole, Random random) {
        byte[] damaged = Arrays.copyOf(whole, random.nextInt(whole.length + 10) + 1);
        for (int change = random.nextInt(4); change > 0; change--) {
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        }
        return damaged;
    }

    private static int rejects(Consumer<byte[]> decoder, byte[] bytes) {
        try {
            decoder.accept(bytes);
            return 0;
        } catch (IllegalArgumentException e) {
            return 1;
        }
    }
}
