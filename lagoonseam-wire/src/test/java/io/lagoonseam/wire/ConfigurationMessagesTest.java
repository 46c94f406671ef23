package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.lagoonseam.wire.ConfigurationMessages.Delta;
import io.lagoonseam.wire.ConfigurationMessages.Parts;
import io.lagoonseam.wire.ConfigurationMessages.PartsRequest;
import io.lagoonseam.wire.ConfigurationMessages.ReportAnswer;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

public final class ConfigurationMessagesTest {

    private static final Delta DELTA = new Delta(
            7, new byte[] {1, 2}, true, Map.of("Key/1/0000", "ab"), List.of("Model/1/0000"), Map.of("ab", "text 😀"));

    @Test
    public void decodesEncodedMessages() {
        assertEquals(Delta.decode(DELTA.encode()).texts(), DELTA.texts());
        assertEquals(Delta.decode(DELTA.encode()).manifest(), DELTA.manifest());
        assertEquals(Delta.decode(DELTA.encode()).removed(), DELTA.removed());
        ReportAnswer answer = new ReportAnswer(Long.MAX_VALUE, true);
        assertEquals(ReportAnswer.decode(answer.encode()), answer);
        PartsRequest request = new PartsRequest(List.of("a", "b"));
        assertEquals(PartsRequest.decode(request.encode()), request);
        Parts parts = new Parts(Map.of("a", "b"));
        assertEquals(Parts.decode(parts.encode()), parts);
    }

    @Test
    public void rejectsUnsupportedVersion() {
        byte[] encoded = DELTA.encode();
        encoded[0] = 9;
        expectThrows(IllegalArgumentException.class, () -> Delta.decode(encoded));
    }

    @Test
    public void decodesOrRejectsMutatedMessages() {
        Random random = new Random(1);
        for (int round = 0; round < 20_000; round++) {
            byte[] mutated = DELTA.encode();
            for (int count = random.nextInt(4); count >= 0; count--) {
                mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
            }
            try {
                Delta.decode(mutated);
            } catch (IllegalArgumentException e) {
                assertEquals(e.getClass(), IllegalArgumentException.class);
            }
        }
    }
}
