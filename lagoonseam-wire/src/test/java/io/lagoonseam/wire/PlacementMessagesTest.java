package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.wire.PlacementMessages.Ask;
import io.lagoonseam.wire.PlacementMessages.Batch;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** Checks that batches of this version and of the last one are read. */
public class PlacementMessagesTest {

    /** An empty list, and a list of one answer of unknown size whose caller is about to leave. */
    private static final int EMPTY_LIST_BYTES = 1;

    private static final int UNKNOWN_ANSWER_BYTES = 3;

    private static Ask ask(int answerTokens, long leftMillis) {
        return new Ask(
                7,
                2,
                new PromptShape(5, 100, 300),
                Lane.TOLERANT,
                500,
                400,
                90,
                List.of("w1"),
                "v1",
                answerTokens,
                leftMillis);
    }

    private static Batch batch(List<Ask> asks) {
        return new Batch(
                "llm", "a", true, false, asks, List.of(), List.of(), List.of(4L), List.of(), List.of(), List.of());
    }

    @Test
    public void theAnswerThatACallerExpectsArrives() {
        Batch sent = batch(List.of(ask(208, 3_900), ask(3, 100)));
        assertEquals(Batch.decode(sent.encode()), sent);
    }

    /** While machines are replaced one after the other, nodes of the last version ask homes of this one. */
    @Test
    public void aBatchOfTheLastVersionIsReadWithoutAnswers() {
        byte[] none = batch(List.of()).encode();
        assertEquals(Batch.decode(Arrays.copyOf(none, none.length - EMPTY_LIST_BYTES)), batch(List.of()));
        byte[] one = batch(List.of(ask(0, 0))).encode();
        assertEquals(Batch.decode(Arrays.copyOf(one, one.length - UNKNOWN_ANSWER_BYTES)), batch(List.of(ask(0, 0))));
    }

    @Test
    public void aBatchThatEndsWithinTheAnswersIsMalformed() {
        byte[] payload = batch(List.of(ask(208, 3_900))).encode();
        assertThrows(IllegalArgumentException.class, () -> Batch.decode(Arrays.copyOf(payload, payload.length - 1)));
    }
}
