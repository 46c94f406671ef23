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

    private static final class Setting {

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

        private CompletableFuture<BeginResult> ask(ShardedOperationJournal journal, BeginRequest request) {
            return journal.begin(request).toCompletableFuture();
        }

        private BeginResult begin(ShardedOperationJournal journal, String key) {
            CompletableFuture<BeginResult> result = ask(journal, request(key, "attempt-" + nextAttempt++));
            timers.advance(2 * WAIT_MILLIS);
            return result.join();
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
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            assertEquals(setting.begin(journal, "k"), new BeginResult.Started());
            setting.complete(journal, "k", "attempt-0");
            assertEquals(setting.begin(journal, "k"), new BeginResult.Completed(ANSWER));
        }

        @Test
        public void waitForTheAttemptInFlight() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            CompletableFuture<BeginResult> duplicate = setting.ask(journal, request("k", "other"));
            setting.timers.advance(300);
            assertFalse(duplicate.isDone());
            setting.complete(journal, "k", "attempt-0");
            assertEquals(duplicate.join(), new BeginResult.Completed(ANSWER));
        }

        @Test
        public void areInDoubtWhenTheAttemptEndsWithoutOutcome() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            journal.leaveInDoubt(operation("k"), "attempt-0");
            assertEquals(setting.begin(journal, "k"), new BeginResult.InDoubt());
            journal.confirmRan(operation("k"));
            setting.timers.advance(200);
            assertEquals(setting.begin(journal, "k"), new BeginResult.RanBefore());
        }

        @Test
        public void ofAnotherBodyAreRefused() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            BeginRequest other =
                    new BeginRequest(new OperationKey("split", "k", "other"), "x", Tier.URGENT, WAIT_MILLIS);
            assertEquals(setting.ask(journal, other).join(), new BeginResult.Mismatched());
        }

        @Test
        public void startWhenTheFirstAttemptWasWithdrawn() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            journal.withdraw(operation("k"), "attempt-0");
            assertEquals(setting.begin(journal, "k"), new BeginResult.Started());
            assertEquals(setting.begin(setting.journal("b"), "k"), new BeginResult.InDoubt());
        }

        @Test
        public void ofTheSameAttemptStartAgain() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            assertEquals(setting.ask(journal, request("k", "attempt-0")).join(), new BeginResult.Started());
        }

        @Test
        public void learnOfAnAnswerThatWasTooLarge() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            journal.complete(operation("k"), "attempt-0", new RecordedAnswer(200, "text/plain", "x".repeat(51)));
            assertEquals(setting.begin(journal, "k"), new BeginResult.RanBefore());
        }
    }

    public static final class Writes {

        @Test
        public void holdManyIntents() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "first");
            long before = setting.store.writes();
            List<CompletableFuture<BeginResult>> results = new ArrayList<>();
            for (int index = 0; index < 50; index++) {
                results.add(setting.ask(journal, request("k" + index, "a" + index)));
            }
            setting.timers.advance(100);
            results.forEach(result -> assertEquals(result.join(), new BeginResult.Started()));
            assertTrue(setting.store.writes() - before <= 2, "writes " + (setting.store.writes() - before));
        }

        @Test
        public void takeUrgentIntentsFirst() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a", 100_000, 1);
            setting.begin(journal, "first");
            setting.ask(journal, request("busy", "x"));
            CompletableFuture<BeginResult> batch =
                    setting.ask(journal, new BeginRequest(operation("reminder"), "b", Tier.BATCH, WAIT_MILLIS));
            CompletableFuture<BeginResult> urgent = setting.ask(journal, request("unlock", "u"));
            setting.timers.advance(100);
            assertTrue(urgent.isDone());
            assertFalse(batch.isDone());
            setting.timers.advance(100);
            assertEquals(batch.join(), new BeginResult.Started());
        }

        @Test
        public void areSettledWhenTheAnswerIsLost() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "first");
            setting.store.loseAnswers(1);
            assertEquals(setting.begin(journal, "k"), new BeginResult.Started());
            assertEquals(setting.begin(setting.journal("b"), "k"), new BeginResult.InDoubt());
        }
    }

    public static final class Outages {

        @Test
        public void refuseNewKeysAndGiveRecordedAnswers() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            setting.complete(journal, "k", "attempt-0");
            setting.store.outage(true);
            assertEquals(setting.begin(journal, "k"), new BeginResult.Completed(ANSWER));
            assertTrue(setting.begin(journal, "new") instanceof BeginResult.Unavailable);
            setting.store.outage(false);
            setting.timers.advance(5_000);
            assertEquals(setting.begin(journal, "new"), new BeginResult.Started());
        }

        @Test
        public void keepOutcomesUntilTheyAreDurable() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            setting.store.outage(true);
            CompletableFuture<Void> durable =
                    journal.complete(operation("k"), "attempt-0", ANSWER).toCompletableFuture();
            setting.timers.advance(20_000);
            assertFalse(durable.isDone());
            assertEquals(journal.unrecordedOutcomes(), 1);
            setting.store.outage(false);
            setting.timers.advance(5_000);
            durable.join();
            assertEquals(setting.begin(setting.journal("b"), "k"), new BeginResult.Completed(ANSWER));
        }
    }

    public static final class Takeovers {

        @Test
        public void fenceTheEarlierOwner() {
            Setting setting = new Setting();
            ShardedOperationJournal earlier = setting.journal("a");
            setting.begin(earlier, "k");
            ShardedOperationJournal later = setting.journal("b");
            assertEquals(setting.begin(later, "k"), new BeginResult.InDoubt());
            assertEquals(setting.begin(later, "m"), new BeginResult.Started());
            setting.complete(later, "m", "attempt-2");
            assertEquals(setting.begin(earlier, "m"), new BeginResult.Completed(ANSWER));
        }

        @Test
        public void takeTheOutcomeOfASenderThatWasGrantedBefore() {
            Setting setting = new Setting();
            setting.begin(setting.journal("a"), "k");
            ShardedOperationJournal later = setting.journal("b");
            assertEquals(setting.begin(later, "k"), new BeginResult.InDoubt());
            setting.complete(later, "k", "attempt-0");
            assertEquals(setting.begin(later, "k"), new BeginResult.Completed(ANSWER));
            assertEquals(setting.invariants.totalViolations(), 0);
        }

        @Test
        public void reportAnOutcomeOfASecondAttempt() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a");
            setting.begin(journal, "k");
            setting.complete(journal, "k", "attempt-of-nobody");
            assertEquals(setting.invariants.totalViolations(), 1);
        }
    }

    public static final class Expiry {

        @Test
        public void dropsSegmentsAndKeepsDoubts() {
            Setting setting = new Setting();
            ShardedOperationJournal journal = setting.journal("a", 500, 100_000);
            setting.begin(journal, "doubt");
            setting.begin(journal, "old");
            setting.complete(journal, "old", "attempt-1");
            for (int index = 0; index < 30; index++) {
                assertEquals(setting.begin(journal, "k" + index), new BeginResult.Started());
                setting.complete(journal, "k" + index, "attempt-" + (setting.nextAttempt - 1));
                setting.timers.advance(RETENTION_MILLIS / 10);
            }
            assertEquals(setting.begin(journal, "old"), new BeginResult.Started());
            ShardedOperationJournal later = setting.journal("b", 500, 100_000);
            assertEquals(setting.begin(later, "doubt"), new BeginResult.InDoubt());
            int objects = setting.store.list("").toCompletableFuture().join() instanceof ListResult.Listed listed
                    ? listed.objects().size()
                    : 0;
            assertTrue(objects > 1 && objects < 12, "objects " + objects);
        }
    }
}
