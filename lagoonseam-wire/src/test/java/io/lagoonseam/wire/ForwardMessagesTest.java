package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.wire.ForwardMessages.InFlightCount;
import io.lagoonseam.wire.ForwardMessages.ObjectCopy;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.testng.annotations.Test;

/** Tests that messages of forwarding nodes are decoded as they were encoded, and that truncated ones are rejected. */
public class ForwardMessagesTest {

    private static final ForwardMessages.State STATE = new ForwardMessages.State(
            7,
            530,
            Map.of("w1", new InFlightCount(3, 17_000)),
            Map.of("w1", List.of(1L, -5L)),
            Map.of("w1", new OutcomeCount(12, 5)),
            Map.of("w2", new WorkerLoad(31, 4)),
            Map.of("w3", 1_700_000_000_000L),
            Map.of("w4", 350L),
            List.of(
                    new LimitReport(new WorkerIncarnation("app", "w5", 9), OptionalDouble.of(0.5), 40),
                    new LimitReport(new WorkerIncarnation("app", "w6", 9), OptionalDouble.empty(), 0)));

    @Test
    public void decodesEncodedState() {
        assertEquals(ForwardMessages.decodeState(ForwardMessages.encode(STATE)), STATE);
    }

    @Test
    public void decodesEncodedSnapshot() {
        ForwardMessages.Snapshot snapshot = new ForwardMessages.Snapshot(
                7,
                List.of(new ObjectCopy("main", 4, new byte[] {1, 2})),
                9,
                List.of(new ObjectCopy("w1", 9, new byte[] {3})));
        ForwardMessages.Snapshot read = ForwardMessages.decodeSnapshot(ForwardMessages.encode(snapshot));
        assertEquals(read.upstreamRevision(), 9);
        assertEquals(read.configuration().get(0).name(), "main");
        assertEquals(read.upstreams().get(0).content(), new byte[] {3});
    }

    @Test
    public void rejectsTruncatedMessages() {
        byte[] encoded = ForwardMessages.encode(STATE);
        for (int length = 0; length < encoded.length; length++) {
            byte[] part = Arrays.copyOf(encoded, length);
            assertThrows(MalformedMessageException.class, () -> ForwardMessages.decodeState(part));
        }
    }
}
