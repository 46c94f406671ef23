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

    private static final long AFTER_REREGISTRATION = UpstreamDirectory.REREGISTRATION_MILLIS + 1;

    private static UpstreamRecord record(String id, boolean leaving, long revision) {
        return new UpstreamRecord(id, 1, "chat", "v1", "10.0.0.1", 80, "a", 4, leaving, revision);
    }

    private static String serving(UpstreamDirectory directory) {
        return directory.serving().stream().map(UpstreamRecord::id).sorted().collect(Collectors.joining(" "));
    }

    /** While the store is available. */
    public static class StoreAvailable {

        @Test
        public void aLeavingWorkerStopsServingAtOnce() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            directory.applyChange(record("w1", true, 3));
            assertEquals(serving(directory), "w2");
        }

        @Test
        public void aDeletedRecordRemovesTheWorkerAtOnce() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.applyRemoval("w1", 2, 10);
            assertEquals(serving(directory), "");
        }

        @Test
        public void anOldCopyDoesNotRestoreARemovedWorker() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.applyRemoval("w1", 5, 10);
            directory.applyChange(record("w1", false, 1));
            assertEquals(serving(directory), "");
        }

        @Test
        public void anOldCopyDoesNotResetLeaving() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", true, 4)), 4, 0);
            directory.applyChange(record("w1", false, 3));
            assertEquals(serving(directory), "");
        }

        @Test
        public void aWorkerRestartedUnderItsIdServes() {
            UpstreamDirectory directory = new UpstreamDirectory();
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
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            directory.recordOutage(5_000);
            directory.applyListing(List.of(record("w2", false, 2)), 9, 5_100);
            assertEquals(serving(directory), "w1 w2");
            directory.applyChange(record("w1", false, 10));
            directory.expire(5_000 + 2 * AFTER_REREGISTRATION);
            assertEquals(serving(directory), "w1 w2");
        }

        @Test
        public void aRecordNotRewrittenIsRemoved() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.recordOutage(5_000);
            directory.applyListing(List.of(), 9, 5_100);
            directory.expire(5_100 + AFTER_REREGISTRATION);
            assertEquals(serving(directory), "");
        }

        @Test
        public void aLeavingWorkerIsNotKept() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.applyChange(record("w1", true, 2));
            directory.recordOutage(5_000);
            directory.applyListing(List.of(), 9, 5_100);
            assertTrue(directory.serving().isEmpty());
        }

        @Test
        public void nothingIsRemovedDuringTheOutage() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(record("w1", false, 1)), 1, 0);
            directory.recordOutage(5_000);
            directory.applyRemoval("w1", 9, 5_001);
            directory.recordOutage(20_000);
            directory.expire(20_100);
            assertEquals(serving(directory), "w1");
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
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(incarnation(7, true, 4)), 4, 0);
            directory.applyListing(List.of(incarnation(7, false, 9)), 9, 0);
            assertEquals(serving(directory), "");
        }

        @Test
        public void anAnnouncementInAnAnswerOutlastsARecordThatSaysReady() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.applyListing(List.of(incarnation(7, false, 4)), 4, 0);
            assertTrue(directory.markLeaving("w1", 7, 100));
            directory.applyChange(incarnation(7, false, 5));
            assertEquals(serving(directory), "");
            assertEquals(directory.leavingSince(100), Map.of("w1", 7L));
            assertEquals(directory.leavingSince(101), Map.of());
        }

        @Test
        public void anotherIncarnationServes() {
            UpstreamDirectory directory = new UpstreamDirectory();
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
