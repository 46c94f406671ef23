package io.lagoonseam.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.membership.MembershipMessage;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/**
 * Tests that the codecs decode what they encoded, and reject corrupted bytes only with
 * {@link MalformedMessageException}.
 */
public final class CodecFuzzTest {

    private static final int ROUNDS = 20_000;

    private static PeerFrame randomFrame(Random random) {
        byte[] payload = new byte[random.nextInt(300)];
        random.nextBytes(payload);
        FrameKind kind = FrameKind.values()[random.nextInt(FrameKind.values().length)];
        return new PeerFrame(kind, random.nextLong(), "n" + random.nextInt(99), "m", random.nextInt(), payload);
    }

    private static MembershipMessage randomMessage(Random random) {
        Member member = new Member(
                "n" + random.nextInt(),
                "a",
                "127.0.0.1",
                random.nextInt(65_536),
                random.nextLong(),
                MemberState.values()[random.nextInt(MemberState.values().length)]);
        return new MembershipMessage(
                random.nextBoolean(),
                random.nextBoolean() ? Optional.of(member) : Optional.empty(),
                List.of(member),
                Map.of(random.nextInt(), random.nextLong()));
    }

    private static byte[] corrupt(byte[] whole, Random random) {
        byte[] corrupted = Arrays.copyOf(whole, random.nextInt(whole.length + 10) + 1);
        for (int change = random.nextInt(4); change > 0; change--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
        }
        return corrupted;
    }

    private static int countMalformed(Consumer<byte[]> decoder, byte[] bytes) {
        try {
            decoder.accept(bytes);
            return 0;
        } catch (MalformedMessageException e) {
            return 1;
        }
    }

    @Test
    public void decodesEncodedFrames() {
        Random random = new Random(1);
        for (int round = 0; round < ROUNDS; round++) {
            PeerFrame frame = randomFrame(random);
            PeerFrame read = PeerFrameCodec.decode(PeerFrameCodec.encode(frame));
            assertEquals(read.payload(), frame.payload());
            assertEquals(
                    List.of(read.kind(), read.correlationId(), read.senderId(), read.receiverId(), read.messageType()),
                    List.of(
                            frame.kind(),
                            frame.correlationId(),
                            frame.senderId(),
                            frame.receiverId(),
                            frame.messageType()));
        }
    }

    @Test
    public void decodesOrRejectsCorruptedFrames() {
        Random random = new Random(2);
        int malformed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            byte[] whole = PeerFrameCodec.encode(randomFrame(random));
            malformed += countMalformed(PeerFrameCodec::decode, corrupt(whole, random));
        }
        assertTrue(malformed > ROUNDS / 2, malformed + " messages rejected of " + ROUNDS);
    }

    @Test
    public void decodesEncodedMembershipMessages() {
        Random random = new Random(3);
        MessagePackMembershipCodec codec = new MessagePackMembershipCodec();
        for (int round = 0; round < ROUNDS; round++) {
            MembershipMessage message = randomMessage(random);
            assertEquals(codec.decode(codec.encode(message)), message);
        }
    }

    @Test
    public void decodesOrRejectsCorruptedMembershipMessages() {
        Random random = new Random(4);
        MessagePackMembershipCodec codec = new MessagePackMembershipCodec();
        int malformed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            malformed += countMalformed(codec::decode, corrupt(codec.encode(randomMessage(random)), random));
        }
        assertTrue(malformed > ROUNDS / 2, malformed + " messages rejected of " + ROUNDS);
    }

    @Test
    public void rejectsUnknownVersionsAndKinds() {
        byte[] frame = PeerFrameCodec.encode(new PeerFrame(FrameKind.REQUEST, 1, "a", "b", 1, new byte[0]));
        byte[] otherVersion = frame.clone();
        otherVersion[1] = 2;
        byte[] otherKind = frame.clone();
        otherKind[2] = 9;
        assertEquals(countMalformed(PeerFrameCodec::decode, otherVersion), 1);
        assertEquals(countMalformed(PeerFrameCodec::decode, otherKind), 1);
        assertEquals(countMalformed(PeerFrameCodec::decode, frame), 0);
    }
}
