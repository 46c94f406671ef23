package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Tests which workers accept new requests after updates from the store, with and without an outage. */
public class UpstreamDirectoryTest {

    private static final long AFTER_REREGISTRATION = UpstreamDirectory.REREGISTRATION_MILLIS + 1;

    private static UpstreamRecord record(String id, boolean leaving, long revision) {
        return new UpstreamRecord(id, 1, "chat", "10.0.0.1", 80, "a", 4, leaving, revision);
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
}
