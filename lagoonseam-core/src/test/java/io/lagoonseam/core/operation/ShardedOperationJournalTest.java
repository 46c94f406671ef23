package io.lagoonseam.core.operation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.membership.SoleMemberDirectory;
import io.lagoonseam.core.operation.internal.JournalShard;
import io.lagoonseam.core.platform.FakeObjectStore;
import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.time.ManualTimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

public final class ShardedOperationJournalTest {

    private static final RecordedAnswer ANSWER = new RecordedAnswer(200, "application/json", "{\"unlocked\":7}");
    private static final long WAIT_MILLIS = 1_500;
    private static final long RETENTION_MILLIS = 60_000;

    private static final class Fixture {

        private final ManualTimeSource time = new ManualTimeSource();
        private final ManualTimers timers = new ManualTimers(time);
        private final FakeObjectStore store = new FakeObjectStore();
        private final InvariantMonitor invariants = new InvariantMonitor(new NoopEventSink());
        private int nextAttempt;

        private ShardedOperationJournal journal(String nodeId, int openSegmentBytes, int batchBytes) {
            JournalOptions options =
                    new JournalOptions(1, 100, openSegmentBytes, batchBytes, () -> RETENTION_MILLIS, () -> 50);
            return new ShardedOperationJournal(
                    new SoleMemberDirectory(new Member(nodeId, "zg-a", "", 0, 0, MemberState.ALIVE)),
                    OwnerClient.NONE,
                    new JournalShard.Environment(store, time, timers, new Random(5), invariants, options));
        }

        private ShardedOperationJournal journal(String nodeId) {
            return journal(nodeId, 100_000, 100_000);
        }

        private CompletableFuture<BeginResult> beginAsync(ShardedOperationJournal journal, BeginRequest request) {
            return journal.begin(request).toCompletableFuture();
        }

        private BeginResult begin(ShardedOperationJournal journal, String key) {
            CompletableFuture<BeginResult> result = beginAsync(journal, request(key, "attempt-" + nextAttempt++));
            timers.advance(2 * WAIT_MILLIS);
            return result.join();
        }

        /** Uses up the burst of writes of an idle shard, so that its next write waits for the write interval. */
        private void exhaustBurst(ShardedOperationJournal journal) {
            for (int index = 0; index < 4; index++) {
                beginAsync(journal, request("busy" + index, "busy" + index));
            }
        }

        private void complete(ShardedOperationJournal journal, String key, String attemptId) {
            CompletableFuture<Void> durable =
                    journal.complete(operation(key), attemptId, ANSWER).toCompletableFuture();
            timers.advance(200);
            durable.join();
        }
    }

    private static OperationKey operation(String key) {
        return new OperationKey("split", key, "digest");
    }

    private static BeginRequest request(String key, String attemptId) {
        return new BeginRequest(operation(key), attemptId, Tier.URGENT, WAIT_MILLIS);
    }

    public static final class Duplicates {

        @Test
        public void getTheRecordedAnswer() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            assertEquals(fixture.begin(journal, "k"), new BeginResult.Started());
            fixture.complete(journal, "k", "attempt-0");
            assertEquals(fixture.begin(journal, "k"), new BeginResult.Completed(ANSWER));
        }

        @Test
        public void waitForTheAttemptInFlight() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            CompletableFuture<BeginResult> duplicate = fixture.beginAsync(journal, request("k", "other"));
            fixture.timers.advance(300);
            assertFalse(duplicate.isDone());
            fixture.complete(journal, "k", "attempt-0");
            assertEquals(duplicate.join(), new BeginResult.Completed(ANSWER));
        }

        @Test
        public void areInDoubtIfTheAttemptEndsWithoutOutcome() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            journal.leaveInDoubt(operation("k"), "attempt-0");
            assertEquals(fixture.begin(journal, "k"), new BeginResult.InDoubt());
            journal.confirmRan(operation("k"));
            fixture.timers.advance(200);
            assertEquals(fixture.begin(journal, "k"), new BeginResult.RanBefore());
        }

        @Test
        public void withAnotherRequestDigestAreRejected() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            BeginRequest other =
                    new BeginRequest(new OperationKey("split", "k", "other"), "x", Tier.URGENT, WAIT_MILLIS);
            assertEquals(fixture.beginAsync(journal, other).join(), new BeginResult.Mismatched());
        }

        @Test
        public void areStartedIfTheFirstAttemptWasWithdrawn() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            journal.withdraw(operation("k"), "attempt-0");
            assertEquals(fixture.begin(journal, "k"), new BeginResult.Started());
            assertEquals(fixture.begin(fixture.journal("b"), "k"), new BeginResult.InDoubt());
        }

        @Test
        public void ofTheSameAttemptAreStartedAgain() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            assertEquals(fixture.beginAsync(journal, request("k", "attempt-0")).join(), new BeginResult.Started());
        }

        @Test
        public void areReportedAsRunIfTheAnswerWasTooLarge() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            journal.complete(operation("k"), "attempt-0", new RecordedAnswer(200, "text/plain", "x".repeat(51)));
            assertEquals(fixture.begin(journal, "k"), new BeginResult.RanBefore());
        }
    }

    public static final class Writes {

        @Test
        public void batchManyIntents() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "first");
            fixture.exhaustBurst(journal);
            long before = fixture.store.writes();
            List<CompletableFuture<BeginResult>> results = new ArrayList<>();
            for (int index = 0; index < 50; index++) {
                results.add(fixture.beginAsync(journal, request("k" + index, "a" + index)));
            }
            fixture.timers.advance(100);
            results.forEach(result -> assertEquals(result.join(), new BeginResult.Started()));
            assertTrue(fixture.store.writes() - before <= 2, "writes " + (fixture.store.writes() - before));
        }

        @Test
        public void writeUrgentIntentsFirst() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a", 100_000, 1);
            fixture.begin(journal, "first");
            fixture.exhaustBurst(journal);
            CompletableFuture<BeginResult> batch =
                    fixture.beginAsync(journal, new BeginRequest(operation("reminder"), "b", Tier.BATCH, WAIT_MILLIS));
            CompletableFuture<BeginResult> urgent = fixture.beginAsync(journal, request("unlock", "u"));
            fixture.timers.advance(100);
            assertTrue(urgent.isDone());
            assertFalse(batch.isDone());
            fixture.timers.advance(100);
            assertEquals(batch.join(), new BeginResult.Started());
        }

        @Test
        public void areResolvedIfTheResponseIsLost() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "first");
            fixture.store.loseAnswers(1);
            assertEquals(fixture.begin(journal, "k"), new BeginResult.Started());
            assertEquals(fixture.begin(fixture.journal("b"), "k"), new BeginResult.InDoubt());
        }
    }

    public static final class Outages {

        @Test
        public void rejectNewKeysAndReplayRecordedAnswers() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            fixture.complete(journal, "k", "attempt-0");
            fixture.store.setOutage(true);
            assertEquals(fixture.begin(journal, "k"), new BeginResult.Completed(ANSWER));
            assertTrue(fixture.begin(journal, "new") instanceof BeginResult.Unavailable);
            fixture.store.setOutage(false);
            fixture.timers.advance(5_000);
            assertEquals(fixture.begin(journal, "new"), new BeginResult.Started());
        }

        @Test
        public void retainOutcomesUntilTheyAreDurable() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            fixture.store.setOutage(true);
            CompletableFuture<Void> durable =
                    journal.complete(operation("k"), "attempt-0", ANSWER).toCompletableFuture();
            fixture.timers.advance(20_000);
            assertFalse(durable.isDone());
            assertEquals(journal.unrecordedOutcomes(), 1);
            fixture.store.setOutage(false);
            fixture.timers.advance(5_000);
            durable.join();
            assertEquals(fixture.begin(fixture.journal("b"), "k"), new BeginResult.Completed(ANSWER));
        }
    }

    public static final class Takeovers {

        @Test
        public void fenceThePreviousOwner() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal previousOwner = fixture.journal("a");
            fixture.begin(previousOwner, "k");
            ShardedOperationJournal newOwner = fixture.journal("b");
            assertEquals(fixture.begin(newOwner, "k"), new BeginResult.InDoubt());
            assertEquals(fixture.begin(newOwner, "m"), new BeginResult.Started());
            fixture.complete(newOwner, "m", "attempt-2");
            assertEquals(fixture.begin(previousOwner, "m"), new BeginResult.Completed(ANSWER));
        }

        @Test
        public void acceptTheOutcomeOfAnAttemptStartedByThePreviousOwner() {
            Fixture fixture = new Fixture();
            fixture.begin(fixture.journal("a"), "k");
            ShardedOperationJournal newOwner = fixture.journal("b");
            assertEquals(fixture.begin(newOwner, "k"), new BeginResult.InDoubt());
            fixture.complete(newOwner, "k", "attempt-0");
            assertEquals(fixture.begin(newOwner, "k"), new BeginResult.Completed(ANSWER));
            assertEquals(fixture.invariants.totalViolations(), 0);
        }

        @Test
        public void reportAViolationIfASecondAttemptReportsAnOutcome() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a");
            fixture.begin(journal, "k");
            fixture.complete(journal, "k", "attempt-of-nobody");
            assertEquals(fixture.invariants.totalViolations(), 1);
        }
    }

    public static final class Expiry {

        @Test
        public void deletesExpiredSegmentsAndRetainsUnresolvedIntents() {
            Fixture fixture = new Fixture();
            ShardedOperationJournal journal = fixture.journal("a", 500, 100_000);
            fixture.begin(journal, "doubt");
            fixture.begin(journal, "old");
            fixture.complete(journal, "old", "attempt-1");
            for (int index = 0; index < 30; index++) {
                assertEquals(fixture.begin(journal, "k" + index), new BeginResult.Started());
                fixture.complete(journal, "k" + index, "attempt-" + (fixture.nextAttempt - 1));
                fixture.timers.advance(RETENTION_MILLIS / 10);
            }
            assertEquals(fixture.begin(journal, "old"), new BeginResult.Started());
            ShardedOperationJournal newOwner = fixture.journal("b", 500, 100_000);
            assertEquals(fixture.begin(newOwner, "doubt"), new BeginResult.InDoubt());
            int objects = fixture.store.list("").toCompletableFuture().join() instanceof ListResult.Listed listed
                    ? listed.objects().size()
                    : 0;
            assertTrue(objects > 1 && objects < 12, "objects " + objects);
        }
    }
}
