package io.lagoonseam.entry.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that a body keeps its bytes, and how much memory it occupies. */
public class RequestBodyTest {

    private static Buffer joined(RequestBody body) {
        Buffer joined = Buffer.buffer();
        body.buffers().forEach(joined::appendBuffer);
        return joined;
    }

    @Test
    public void bytesStayInOrderWhateverThePieces() {
        Random random = new Random(1);
        for (int play = 0; play < 200; play++) {
            RequestBody body = new RequestBody(random.nextBoolean() ? -1 : random.nextInt(100_000));
            Buffer expected = Buffer.buffer();
            for (int piece = random.nextInt(30); piece > 0; piece--) {
                byte[] bytes = new byte[random.nextInt(random.nextBoolean() ? 10 : 40_000)];
                random.nextBytes(bytes);
                body.append(Buffer.buffer(bytes));
                expected.appendBytes(bytes);
            }
            assertEquals(joined(body), expected);
            assertEquals(joined(body), expected, "sent once more");
            assertEquals(body.length(), expected.length());
        }
    }

    /** Guards against a body that occupies much more memory than is counted (review, case 7). */
    @Test
    public void aBodyOccupiesLittleMoreThanItsBytes() {
        for (int pieceBytes : new int[] {1, 100, 10_000, 65_536}) {
            RequestBody body = new RequestBody(-1);
            for (int count = 0; count * pieceBytes < 300_000; count++) {
                body.append(Buffer.buffer(new byte[pieceBytes]));
            }
            assertTrue(body.heldBytes() >= body.length());
            assertTrue(body.heldBytes() <= body.length() + RequestBody.PART_BYTES, body.heldBytes() + " bytes");
        }
    }

    @Test
    public void aBodyOfStatedLengthOccupiesItsBytes() {
        RequestBody body = new RequestBody(600);
        body.append(Buffer.buffer(new byte[600]));
        assertEquals(body.heldBytes(), 600);
        assertTrue(body.hasDeclaredLength());
    }
}
