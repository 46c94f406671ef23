package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.limits.LimitAmounts;
import io.lagoonseam.core.limits.LimitDemand;
import io.lagoonseam.core.limits.LimitShare;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

public final class MessagePackLimitCodecTest {

    private final MessagePackLimitCodec codec = new MessagePackLimitCodec();

    @Test
    public void decodesEncodedMessages() {
        List<LimitDemand> demands = List.of(
                new LimitDemand("regina", new LimitAmounts(12.5, 4_000, 7)), new LimitDemand("", LimitAmounts.ZERO));
        assertEquals(codec.decodeDemands(codec.encodeDemands(demands)), demands);
        List<LimitShare> shares = List.of(new LimitShare("regina", new LimitAmounts(1, 2, 3), 3_000));
        assertEquals(codec.decodeShares(codec.encodeShares(shares)), shares);
    }

    @Test
    public void rejectsNegativeAmount() {
        byte[] encoded = codec.encodeDemands(List.of(new LimitDemand("regina", new LimitAmounts(-1, 0, 0))));
        assertThrows(MalformedMessageException.class, () -> codec.decodeDemands(encoded));
    }

    @Test
    public void rejectsTruncatedMessages() {
        byte[] whole = codec.encodeDemands(List.of(new LimitDemand("regina", new LimitAmounts(1, 2, 3))));
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThrows(MalformedMessageException.class, () -> codec.decodeDemands(part));
        }
    }

    @Test
    public void decodesOrRejectsRandomBytes() {
        Random random = new Random(41);
        int decoded = 0;
        for (int round = 0; round < 20_000; round++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            try {
                codec.decodeShares(bytes);
                decoded++;
            } catch (MalformedMessageException e) {
                continue;
            }
        }
        assertTrue(decoded < 20_000);
    }
}
