package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests which answers a node gives up when workers send more than it may hold. */
public class AnswerBuffersTest {

    private static final long MAX_BYTES = 10_000;
    private static final long MAX_ANSWER_BYTES = 6_000;

    private final AnswerBuffers<String> buffers = new AnswerBuffers<>(MAX_BYTES, MAX_ANSWER_BYTES);

    @Test
    public void anAnswerAboveItsOwnLimitIsGivenUp() {
        AnswerBuffers<String> own = new AnswerBuffers<>(MAX_BYTES, MAX_ANSWER_BYTES);
        assertEquals(own.hold("a", MAX_ANSWER_BYTES), Optional.empty());
        assertEquals(own.hold("a", MAX_ANSWER_BYTES + 1), Optional.of("a"));
        own.release("a");
        own.release("a");
        assertEquals(own.bytes(), 0);
    }

    /** Answers without end grow between answers of up to 100 bytes that come and go. */
    @Test
    public void answersWithoutEndAreGivenUpAndSmallOnesAreServed() {
        Random random = new Random(1);
        Map<String, Long> held = new HashMap<>();
        int givenUp = 0;
        for (int step = 0; step < 20_000; step++) {
            boolean endless = random.nextInt(3) == 0;
            String holder = (endless ? "endless" : "small") + random.nextInt(endless ? 12 : 40);
            long bytes = endless ? held.getOrDefault(holder, 0L) + random.nextInt(900) : random.nextInt(100);
            held.put(holder, bytes);
            Optional<String> victim = buffers.hold(holder, bytes);
            if (victim.isPresent()) {
                assertTrue(victim.get().startsWith("endless"), victim.get());
                held.remove(victim.get());
                buffers.release(victim.get());
                givenUp++;
            }
            long sum = held.values().stream().mapToLong(Long::longValue).sum();
            assertEquals(buffers.bytes(), sum);
            assertTrue(sum <= MAX_BYTES, sum + " bytes");
        }
        assertTrue(givenUp > 100, givenUp + " given up");
    }
}
