package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.OperationMessage;
import io.lagoonseam.core.operation.OperationReply;
import io.lagoonseam.core.operation.RecordedAnswer;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public final class OperationMessageCodecTest {

    private static final OperationKey KEY = new OperationKey("split", "unlock-7", "digest");
    private static final RecordedAnswer ANSWER = new RecordedAnswer(201, "text/plain", "otključano");

    @Test
    public void decodesEveryEncodedMessage() {
        List<OperationMessage> messages = List.of(
                new OperationMessage.Begin(new BeginRequest(KEY, "a", Tier.LOW, 1_500)),
                new OperationMessage.Complete(KEY, "a", Optional.of(ANSWER)),
                new OperationMessage.Complete(KEY, "", Optional.empty()),
                new OperationMessage.Withdraw(KEY, "a"),
                new OperationMessage.LeaveInDoubt(KEY, "a"));
        for (OperationMessage message : messages) {
            assertEquals(OperationMessageCodec.decodeMessage(OperationMessageCodec.encode(message)), message);
        }
    }

    @Test
    public void decodesEveryEncodedReply() {
        List<OperationReply> replies = List.of(
                new OperationReply.Done(),
                new OperationReply.Failed(),
                new OperationReply.Moved("zg-a/entry-1"),
                new OperationReply.Began(new BeginResult.Started()),
                new OperationReply.Began(new BeginResult.Completed(ANSWER)),
                new OperationReply.Began(new BeginResult.RanBefore()),
                new OperationReply.Began(new BeginResult.InDoubt()),
                new OperationReply.Began(new BeginResult.Mismatched()),
                new OperationReply.Began(new BeginResult.Unavailable(7)));
        for (OperationReply reply : replies) {
            assertEquals(OperationMessageCodec.decodeReply(OperationMessageCodec.encode(reply)), reply);
        }
    }

    @Test
    public void rejectsUnsupportedVersion() {
        byte[] other = new MessageWriter(2).number(1).bytes();
        assertThrows(IllegalArgumentException.class, () -> OperationMessageCodec.decodeReply(other));
    }
}
