package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Plays what the store tells of workers, in calm and in trouble, and checks who may get new work. */
public class UpstreamDirectoryTest {

    private static final long AFTER_RETURN = UpstreamDirectory.RETURN_MILLIS + 1;

    private static UpstreamRecord record(String id, boolean leaving, long revision) {
        return new UpstreamRecord(id, 1, "chat", "10.0.0.1", 80, "a", 4, leaving, revision);
    }

    private static String serving(UpstreamDirectory directory) {
        return directory.serving().stream().map(UpstreamRecord::id).sorted().collect(Collectors.joining(" "));
    }

    /** While the store is calm. */
    public static class Calm {

        @Test
        public void aLeavingWorkerGetsNoNewWorkAtOnce() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            directory.changed(record("w1", true, 3));
            assertEquals(serving(directory), "w2");
        }

        @Test
        public void aRemovedWorkerGetsNoNewWorkAtOnce() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1)), 1, 0);
            directory.removed("w1", 2, 10);
            assertEquals(serving(directory), "");
        }

        @Test
        public void anOldCopyDoesNotBringARemovedWorkerBack() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1)), 1, 0);
            directory.removed("w1", 5, 10);
            directory.changed(record("w1", false, 1));
            assertEquals(serving(directory), "");
        }

        @Test
        public void anOldCopyDoesNotUndoTheLeaving() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", true, 4)), 4, 0);
            directory.changed(record("w1", false, 3));
            assertEquals(serving(directory), "");
        }

        @Test
        public void aWorkerThatStartsAgainUnderItsIdServes() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1)), 1, 0);
            directory.removed("w1", 5, 10);
            directory.changed(record("w1", false, 6));
            assertEquals(serving(directory), "w1");
        }
    }

    /** During and after an outage of the store. */
    public static class Outage {

        @Test
        public void aRecordThatExpiredInTheOutageIsKeptUntilItIsBack() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1), record("w2", false, 2)), 2, 0);
            directory.outage(5_000);
            directory.listed(List.of(record("w2", false, 2)), 9, 5_100);
            assertEquals(serving(directory), "w1 w2");
            directory.changed(record("w1", false, 10));
            directory.expire(5_000 + 2 * AFTER_RETURN);
            assertEquals(serving(directory), "w1 w2");
        }

        @Test
        public void aRecordThatDoesNotComeBackIsGone() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1)), 1, 0);
            directory.outage(5_000);
            directory.listed(List.of(), 9, 5_100);
            directory.expire(5_100 + AFTER_RETURN);
            assertEquals(serving(directory), "");
        }

        @Test
        public void aWorkerThatSaidItLeavesIsNotKept() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1)), 1, 0);
            directory.changed(record("w1", true, 2));
            directory.outage(5_000);
            directory.listed(List.of(), 9, 5_100);
            assertTrue(directory.serving().isEmpty());
        }

        @Test
        public void nothingGoesWhileTheOutageLasts() {
            UpstreamDirectory directory = new UpstreamDirectory();
            directory.listed(List.of(record("w1", false, 1)), 1, 0);
            directory.outage(5_000);
            directory.removed("w1", 9, 5_001);
            directory.outage(20_000);
            directory.expire(20_100);
            assertEquals(serving(directory), "w1");
        }
    }
}
