package io.lagoonseam.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests the digests of requests, and that nodes agree on their key. */
public class DigestKeysTest {

    private static final DigestKey OLD = new DigestKey(1, 2, 1_000);
    private static final DigestKey NEW = new DigestKey(3, 4, 2_000);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
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
