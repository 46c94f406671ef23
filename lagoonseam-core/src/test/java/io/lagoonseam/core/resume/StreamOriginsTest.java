package io.lagoonseam.core.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests what a node remembers of the streams that have begun. */
public class StreamOriginsTest {

    private static final StreamOrigin V1 = new StreamOrigin("llm", "v1");
    private static final StreamOrigin V2 = new StreamOrigin("llm", "v2");

    private static StreamKey stream(String id) {
        return new StreamKey("studio", id);
    }

    @Test
    public void aStreamIsKnownUntilItsTimeIsOver() {
        StreamOrigins origins = new StreamOrigins();
        origins.remember(stream("a"), V1, 100, 0);
        assertEquals(origins.find(stream("a"), 99), Optional.of(V1));
        assertEquals(origins.find(stream("a"), 100), Optional.empty());
        assertEquals(origins.find(new StreamKey("other", "a"), 50), Optional.empty());
        origins.remember(stream("a"), V2, 300, 200);
        assertEquals(origins.find(stream("a"), 201), Optional.of(V2));
    }

    @Test
    public void anIdThatTwoStreamsHaveTellsNothing() {
        StreamOrigins origins = new StreamOrigins();
        origins.remember(stream("a"), V1, 100, 0);
        origins.remember(stream("a"), V2, 100, 1);
        origins.remember(stream("a"), V1, 100, 2);
        assertEquals(origins.find(stream("a"), 3), Optional.empty());
    }

    @Test
    public void whatIsRememberedIsBounded() {
        StreamOrigins origins = new StreamOrigins(100);
        for (int number = 0; number < 1_000; number++) {
            origins.remember(stream("s" + number), V1, 10_000, 0);
            origins.remember(stream("kept"), V1, 10_000, 0);
            origins.remember(stream("x".repeat(200) + number), V1, 10_000, 0);
            origins.remember(stream(""), V1, 10_000, 0);
            origins.remember(stream("unknown"), new StreamOrigin("llm", ""), 10_000, 0);
            assertTrue(origins.size() <= 100);
        }
        Set<String> known = new HashSet<>();
        origins.forEach(0, (key, origin) -> known.add(key.requestId()));
        assertTrue(known.contains("kept") && known.contains("s999") && !known.contains("s0"), known.toString());
        assertEquals(origins.find(stream("unknown"), 1), Optional.empty());
        origins.expire(10_000);
        assertEquals(origins.size(), 0);
    }
}
