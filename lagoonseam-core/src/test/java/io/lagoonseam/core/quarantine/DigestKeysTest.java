package io.lagoonseam.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests the digests of requests, and that nodes agree on their key. */
public class DigestKeysTest {

    private static final DigestKey OLD = new DigestKey(1, 2, 1_000);
    private static final DigestKey NEW = new DigestKey(3, 4, 2_000);

    /** The digest of one request as all builds compute it. */
    private static final long WHOLE_BODY_DIGEST = Hashing.wyhashFinal4(1, 2)
            .hashStream()
            .putString("h")
            .putString("/a")
            .putString("w")
            .putByteArray("body".getBytes(StandardCharsets.UTF_8))
            .getAsLong();

    private static List<ByteBuffer> bytes(String... parts) {
        return Stream.of(parts)
                .map(part -> ByteBuffer.wrap(part.getBytes(StandardCharsets.UTF_8)))
                .toList();
    }

    /** Guards against nodes of two builds that name the same request differently. */
    @Test
    public void aDigestDoesNotDependOnThePartsOfABody() {
        assertEquals(OLD.digest("h", "/a", "w", bytes("body")), WHOLE_BODY_DIGEST);
        assertEquals(OLD.digest("h", "/a", "w", bytes("b", "", "od", "y")), WHOLE_BODY_DIGEST);
    }

    @Test
    public void equalRequestsHaveTheSameDigestAndOthersDoNot() {
        long digest = OLD.digest("h", "/a", "w", bytes("body"));
        assertEquals(OLD.digest("h", "/a", "w", bytes("body")), digest);
        assertNotEquals(OLD.digest("h", "/b", "w", bytes("body")), digest);
        assertNotEquals(OLD.digest("h", "/a", "v", bytes("body")), digest);
        assertNotEquals(OLD.digest("h", "/a", "w", bytes("other")), digest);
        assertNotEquals(OLD.digest("h", "/aw", "", bytes("body")), digest);
        assertNotEquals(NEW.digest("h", "/a", "w", bytes("body")), digest);
    }

    @Test
    public void aNodeThatStartsTakesOverTheKeyOfTheOthers() {
        DigestKeys starting = new DigestKeys(OLD, 0);
        starting.learn(NEW, true, 500);
        assertEquals(starting.key(), NEW);
        starting.learn(OLD, false, 600);
        assertEquals(starting.key(), NEW);
    }

    @Test
    public void nodesThatStartTogetherAgreeOnTheOldestKey() {
        DigestKeys one = new DigestKeys(OLD, 0);
        DigestKeys other = new DigestKeys(NEW, 0);
        one.learn(NEW, false, 100);
        other.learn(OLD, false, 100);
        assertEquals(one.key(), OLD);
        assertEquals(other.key(), OLD);
    }

    @Test
    public void nodesThatStartedApartAgreeOnTheOldestKey() {
        DigestKeys one = new DigestKeys(OLD, 0);
        DigestKeys other = new DigestKeys(NEW, 0);
        one.learn(NEW, true, 10_000);
        other.learn(OLD, true, 10_000);
        assertEquals(one.key(), OLD);
        assertEquals(other.key(), OLD);
    }
}
