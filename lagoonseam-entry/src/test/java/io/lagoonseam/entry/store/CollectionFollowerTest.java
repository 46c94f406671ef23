package io.lagoonseam.entry.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.entry.configuration.fleet.VirtualTime;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests, in virtual time, that a follower learns of changes in time after any sequence of faults of the store. */
public class CollectionFollowerTest {

    /** The time after a fault from which a node has to be in touch with the store again, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /** The time within which a change has to be known to a node in touch, in milliseconds. */
    private static final long APPLY_MILLIS = 2_000;

    private static final class Following implements CollectionFollower.Listener {

        private final VirtualTime time = new VirtualTime();
        private final FaultyCollection store = new FaultyCollection(time);
        private final CollectionFollower follower;
        private long known = -1;
        private int timesAway;
        private boolean fails;

        Following(long seed) {
            Random random = new Random(seed);
            follower = new CollectionFollower(
                    time,
                    time,
                    store,
                    CollectionStore.CONFIGURATION,
                    this,
                    random,
                    new CollectionFollower.Options(
                            () -> WatchPolicy.longPollTimeoutMillis(1, random), () -> 5L, false));
        }

        /** Runs on as an event loop does, which a failed task does not end. */
        private void runFor(long millis) {
            long endMillis = time.monotonicMillis() + millis;
            while (time.monotonicMillis() < endMillis) {
                try {
                    time.runFor(endMillis - time.monotonicMillis());
                } catch (IllegalStateException e) {
                    assertTrue(fails, "only the listener fails");
                }
            }
        }

        void run(FaultyCollection.Mode mode, long millis) {
            store.mode(mode);
            time.runFor(millis);
        }

        @Override
        public void listed(List<CollectionObject> objects, long revision) {
            known = revision;
            failIfSet();
        }

        @Override
        public void changed(List<CollectionObject> objects, long revision) {
            known = revision;
            failIfSet();
        }

        private void failIfSet() {
            if (fails) {
                throw new IllegalStateException("an object that the listener cannot take");
            }
        }

        @Override
        public void failed(String reason) {
            // calls may fail
        }

        @Override
        public void away(long sentMillis) {
            timesAway++;
        }

        @Override
        public void succeeded() {
            // listed and changed tell more
        }
    }

    private static void assertFollows(Following following, String message) {
        for (int change = 1; change <= 3; change++) {
            following.store.change();
            following.runFor(APPLY_MILLIS);
            assertEquals(following.known, following.store.revision(), message + ", change " + change);
        }
    }

    /** Guards against a follower that waits for calls of an earlier listing and never calls again (review, case 2). */
    @Test
    public void followsAfterAStoreThatWasSilentAtTheStartAndFailsOnceMore() {
        for (FaultyCollection.Mode second : List.of(FaultyCollection.Mode.BUSY, FaultyCollection.Mode.RESET)) {
            for (long servingMillis = 50; servingMillis <= 1_200; servingMillis += 50) {
                Following following = new Following(servingMillis);
                following.store.mode(FaultyCollection.Mode.SILENT);
                following.follower.start();
                following.time.runFor(3_000);
                following.run(FaultyCollection.Mode.UP, servingMillis);
                following.store.change();
                following.run(second, 1_000);
                following.run(FaultyCollection.Mode.UP, CONTACT_MILLIS);
                assertFollows(following, "serving for " + servingMillis + " ms, then " + second);
            }
        }
    }

    /** Guards against a watch that is cut off and counts as an outage of the store (review, case 9). */
    @Test
    public void aWatchThatIsCutOffDoesNotShowThatTheStoreIsAway() {
        Following following = new Following(1);
        following.follower.start();
        following.time.runFor(1_000);
        following.run(FaultyCollection.Mode.RESET, 1);
        following.run(FaultyCollection.Mode.UP, CONTACT_MILLIS);
        assertEquals(following.timesAway, 0);
        following.run(FaultyCollection.Mode.RESET, CONTACT_MILLIS);
        following.run(FaultyCollection.Mode.UP, CONTACT_MILLIS);
        assertTrue(following.timesAway > 0, "listings were rejected");
    }

    /** Guards against objects that end the following of a collection for good. */
    @Test
    public void followsAfterItsListenerHasFailed() {
        Following following = new Following(1);
        following.fails = true;
        following.follower.start();
        following.runFor(APPLY_MILLIS);
        following.store.change();
        following.runFor(APPLY_MILLIS);
        assertFollows(following, "the listener fails");
    }

    /** Guards against channels to the store that go silent and are noticed too late (review, case 4). */
    @Test
    public void learnsOfAChangeInTimeAfterItsConnectionsHaveGoneSilent() {
        for (long quietMillis = 0; quietMillis <= 4_000; quietMillis += 100) {
            for (long untilChangeMillis = 0; untilChangeMillis <= 4_000; untilChangeMillis += 200) {
                Following following = new Following(quietMillis);
                following.follower.start();
                following.time.runFor(1_000 + quietMillis);
                following.store.silenceOpenConnections();
                following.time.runFor(untilChangeMillis);
                following.store.change();
                following.time.runFor(Math.max(APPLY_MILLIS, CONTACT_MILLIS - untilChangeMillis));
                assertEquals(
                        following.known,
                        following.store.revision(),
                        "silent after " + quietMillis + " ms, changed after " + untilChangeMillis + " ms more");
            }
        }
    }

    @Test
    public void followsAfterAnySequenceOfFaults() {
        FaultyCollection.Mode[] modes = FaultyCollection.Mode.values();
        for (long seed = 1; seed <= 2_000; seed++) {
            Random random = new Random(seed);
            Following following = new Following(seed);
            int start = random.nextInt(4);
            int phases = 3 + random.nextInt(8);
            for (int phase = 0; phase < phases; phase++) {
                following.store.mode(modes[random.nextInt(modes.length)]);
                if (phase == start) {
                    following.follower.start();
                }
                if (random.nextBoolean()) {
                    following.store.change();
                }
                following.time.runFor(1 + random.nextInt(3_000));
            }
            if (start >= phases) {
                following.follower.start();
            }
            following.run(FaultyCollection.Mode.UP, CONTACT_MILLIS);
            assertFollows(following, "seed " + seed);
        }
    }
}
