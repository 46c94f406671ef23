package io.lagoonseam.core.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Checks which prefixes a worker is presumed to hold. */
public class CachedSegmentsTest {

    private static CachedSegments read(int... sizes) {
        CachedSegments segments = new CachedSegments();
        for (int index = 0; index < sizes.length; index++) {
            segments.recordUse(index, sizes[index], index);
            segments.recordRead(index, index);
        }
        return segments;
    }

    /** Prefixes that an engine had long evicted were presumed to be there, and read whole beside what was planned. */
    @Test
    public void theLeastRecentlyUsedPrefixesGoFirst() {
        CachedSegments segments = read(4_000, 3_000, 2_000);
        segments.recordUse(0, 10);
        segments.evictBeyond(6_000);
        assertTrue(segments.hasRead(0, 10));
        assertFalse(segments.contains(1, 10));
        assertTrue(segments.hasRead(2, 10));
    }

    @Test
    public void whatAnAnswerLeavesBehindTakesRoom() {
        CachedSegments segments = read(4_000, 3_000);
        segments.recordUnshared(2_500, 5);
        segments.evictBeyond(6_000);
        assertFalse(segments.contains(0, 5));
        assertTrue(segments.contains(1, 5));
    }

    @Test
    public void askingWhatIsHeldIsNoUse() {
        CachedSegments segments = read(4_000, 3_000);
        assertTrue(segments.contains(0, 5));
        segments.evictBeyond(3_500);
        assertFalse(segments.contains(0, 5));
        assertTrue(segments.contains(1, 5));
    }

    @Test
    public void aPrefixThatIsReadAgainCountsOnce() {
        CachedSegments segments = read(4_000, 3_000);
        segments.recordUse(0, 4_000, 7);
        segments.recordRead(0, 8);
        segments.evictBeyond(7_000);
        assertTrue(segments.contains(0, 9));
        assertTrue(segments.contains(1, 9));
    }
}
