package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Tests which workers accept new requests after updates from the store, with and without an outage. */
public class UpstreamDirectoryTest {

    private static final long AFTER_REREGISTRATION = StoreOutages.REREGISTRATION_MILLIS + 1;

    private static UpstreamRecord record(String id, boolean leaving, long revision) {
        return new UpstreamRecord(id, 1, "chat", "v1", "10.0.0.1", 80, "a", 4, leaving, revision);
    }

    private static StoreOutages outages() {
        return new StoreOutages(1_200);
    }

    /** Has the store not answer for three seconds. */
    private static void awayUntil(StoreOutages outages, long endMillis) {
        for (long sentMillis = endMillis - 3_000; sentMillis < endMillis; sentMillis += 500) {
            outages.failed(sentMillis, sentMillis + 10);
        }
        outages.succeeded(endMillis);
    }

    private static String serving(UpstreamDirectory directory) {
        return directory.serving().stream().map(UpstreamRecord::id).sorted().collect(Collectors.joining(" "));
    }

    /** While the store is available. */
    public static class StoreAvailable {

        @Test
        public void aLeavingWorkerStopsServingAtOnce() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            directory.applyChange(record("w1", true, 3));
            assertEquals(serving(directory), "w2");
        }

        @Test
        public void aDeletedRecordRemovesTheWorkerAtOnce() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.applyRemoval("w1", 2, 10);
            assertEquals(serving(directory), "");
        }

        @Test
        public void anOldCopyDoesNotRestoreARemovedWorker() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.applyRemoval("w1", 5, 10);
            directory.applyChange(record("w1", false, 1));
            assertEquals(serving(directory), "");
        }

        @Test
        public void anOldCopyDoesNotResetLeaving() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(record("w1", true, 4)), 4, 0);
            directory.applyChange(record("w1", false, 3));
            assertEquals(serving(directory), "");
        }

        @Test
        public void aWorkerRestartedUnderItsIdServes() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.applyRemoval("w1", 5, 10);
            directory.applyChange(record("w1", false, 6));
            assertEquals(serving(directory), "w1");
        }
    }

    /** During and after an outage of the store. */
    public static class StoreOutage {

        @Test
        public void aRecordExpiredInTheOutageIsKeptUntilRewritten() {
            StoreOutages outages = outages();
            UpstreamDirectory directory = new UpstreamDirectory(outages);
            directory.applyListing(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            awayUntil(outages, 5_000);
            directory.applyListing(List.of(record("w2", false, 2)), 9, 5_100);
            assertEquals(serving(directory), "w1 w2");
            directory.applyChange(record("w1", false, 10));
            directory.expire(5_000 + 2 * AFTER_REREGISTRATION);
            assertEquals(serving(directory), "w1 w2");
        }

        @Test
        public void aRecordNotRewrittenIsRemoved() {
            StoreOutages outages = outages();
            UpstreamDirectory directory = new UpstreamDirectory(outages);
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            awayUntil(outages, 5_000);
            directory.applyListing(List.of(), 9, 5_100);
            directory.expire(5_100 + AFTER_REREGISTRATION);
            assertEquals(serving(directory), "");
        }

        @Test
        public void aLeavingWorkerIsNotKept() {
            StoreOutages outages = outages();
            UpstreamDirectory directory = new UpstreamDirectory(outages);
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.applyChange(record("w1", true, 2));
            awayUntil(outages, 5_000);
            directory.applyListing(List.of(), 9, 5_100);
            assertTrue(directory.serving().isEmpty());
        }

        @Test
        public void nothingIsRemovedDuringTheOutage() {
            StoreOutages outages = outages();
            UpstreamDirectory directory = new UpstreamDirectory(outages);
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            outages.failed(3_000, 5_000);
            directory.applyRemoval("w1", 9, 5_001);
            outages.failed(18_800, 20_000);
            directory.expire(20_100);
            assertEquals(serving(directory), "w1");
        }

        /** Guards against a worker that gets work since a watch was cut off before it left (review, case 9). */
        @Test
        public void aWorkerThatLeavesAfterAShortFailureIsRemovedAtOnce() {
            StoreOutages outages = outages();
            UpstreamDirectory directory = new UpstreamDirectory(outages);
            directory.applyListing(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            outages.failed(5_000, 5_010);
            outages.succeeded(5_060);
            directory.applyListing(List.of(record("w1", false, 1)), 3, 5_060);
            assertEquals(serving(directory), "w1");
            directory.applyRemoval("w1", 4, 5_500);
            assertEquals(serving(directory), "");
        }

        /** Records expire one after the other, also some time after the store has answered again. */
        @Test
        public void recordsThatExpireJustAfterTheOutageAreKeptUntilRewritten() {
            StoreOutages outages = outages();
            UpstreamDirectory directory = new UpstreamDirectory(outages);
            directory.applyListing(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            awayUntil(outages, 5_000);
            directory.applyListing(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 5_000);
            directory.applyRemoval("w1", 3, 5_400);
            directory.applyRemoval("w2", 4, 6_100);
            directory.expire(6_200);
            assertEquals(serving(directory), "w1 w2");
        }

        /** The store is stable again after three seconds; from then on a removal is confirmed. */
        @Test
        public void aWorkerThatLeavesWhenTheStoreIsStableAgainIsRemovedInTime() {
            for (long noticedMillis = 0; noticedMillis <= 1_500; noticedMillis += 100) {
                StoreOutages outages = outages();
                UpstreamDirectory directory = new UpstreamDirectory(outages);
                directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
                awayUntil(outages, 5_000 + noticedMillis);
                // a call from the end of the outage times out
                outages.failed(4_990, 6_190);
                directory.applyRemoval("w1", 2, 8_050);
                directory.expire(10_000);
                assertEquals(serving(directory), "", "noticed after " + noticedMillis + " ms");
            }
        }
    }

    /** Workers that announce their leaving, in their record or in an answer. */
    public static class Announcements {

        private static UpstreamRecord incarnation(long startMillis, boolean leaving, long revision) {
            return new UpstreamRecord("w1", startMillis, "chat", "v1", "10.0.0.1", 80, "a", 4, leaving, revision);
        }

        /** A store that is restored from a copy calls a worker ready again that had begun to drain. */
        @Test
        public void aLaterRecordOfTheSameIncarnationDoesNotResetLeaving() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(incarnation(7, true, 4)), 4, 0);
            directory.applyListing(List.of(incarnation(7, false, 9)), 9, 0);
            assertEquals(serving(directory), "");
        }

        @Test
        public void anAnnouncementInAnAnswerOutlastsARecordThatSaysReady() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(incarnation(7, false, 4)), 4, 0);
            assertTrue(directory.markLeaving("w1", 7, 100));
            directory.applyChange(incarnation(7, false, 5));
            assertEquals(serving(directory), "");
            assertEquals(directory.leavingSince(100), Map.of("w1", 7L));
            assertEquals(directory.leavingSince(101), Map.of());
        }

        @Test
        public void anotherIncarnationServes() {
            UpstreamDirectory directory = new UpstreamDirectory(outages());
            directory.applyListing(List.of(incarnation(7, false, 4)), 4, 0);
            directory.markLeaving("w1", 7, 100);
            directory.applyChange(incarnation(8, false, 6));
            assertEquals(serving(directory), "w1");
            assertFalse(directory.markLeaving("w1", 7, 200));
            assertEquals(serving(directory), "w1");
            assertTrue(directory.markLeaving("w1", 8, 300));
            assertEquals(serving(directory), "");
        }
    }
}
