package io.lagoonseam.core.lock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.Test;

public final class RankedLockTest {

    public static final class Order {

        @Test
        public void allowsLaterRankInside() {
            RankedLock outer = new RankedLock(LockRank.CONFIGURATION);
            RankedLock inner = new RankedLock(LockRank.SERVICE);
            assertEquals(outer.call(() -> inner.call(() -> "done")), "done");
        }

        @Test
        public void rejectsEarlierRankInside() {
            RankedLock outer = new RankedLock(LockRank.SERVICE);
            RankedLock inner = new RankedLock(LockRank.CONFIGURATION);
            assertThrows(IllegalStateException.class, () -> outer.run(() -> inner.run(() -> {})));
        }

        @Test
        public void rejectsSameRankInside() {
            RankedLock outer = new RankedLock(LockRank.SERVICE);
            RankedLock inner = new RankedLock(LockRank.SERVICE);
            assertThrows(IllegalStateException.class, () -> outer.run(() -> inner.run(() -> {})));
        }

        @Test
        public void releasesAfterFailure() {
            RankedLock lock = new RankedLock(LockRank.SERVICE);
            assertThrows(
                    IllegalArgumentException.class,
                    () -> lock.run(() -> {
                        throw new IllegalArgumentException("expected");
                    }));
            assertEquals(lock.call(() -> 1), Integer.valueOf(1));
        }
    }
}
