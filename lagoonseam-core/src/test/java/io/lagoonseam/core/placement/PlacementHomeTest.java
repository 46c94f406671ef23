package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.LatencyLanes;
import io.lagoonseam.core.forward.LeastLoadedChooser;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PrefixChooser;
import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.WorkerDemand;
import io.lagoonseam.core.ratelimit.PermitSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Tests the decisions of a home about the requests of many nodes. */
public class PlacementHomeTest {

    private static final int SLOTS = 12;

    /** The most looks for a worker in a pass over the queue: some for each lane and priority. */
    private static final int MAX_LOOKS = 24;

    private static PlacementHome home(int workers) {
        return home(workers, new PrefixChooser());
    }

    private static PlacementHome home(int workers, UpstreamChooser chooser) {
        ServiceWorkers set = new ServiceWorkers(chooser, new LeastLoadedChooser(1), PermitSource.UNLIMITED);
        set.modelEngine(true);
        for (int index = 0; index < workers; index++) {
            UpstreamRecord record =
                    new UpstreamRecord("w" + index, 1, "llm", "v1", "10.0.0." + index, 80, "a", SLOTS, false, 1);
            set.workers().put(record.id(), set.newState(record));
        }
        LatencyLanes.assignWorkers(set.workers().values());
        return new PlacementHome(set);
    }

    private static PlacementRequest answered(long number, int priority, ExpectedAnswer answer) {
        WorkerDemand demand = new WorkerDemand(
                new PromptShape(number, 0, 10_000), Lane.TOLERANT, 5_000, 5_000, "a", priority, true, Set.of(), "");
        return new PlacementRequest(new PlacementKey("n1", number), priority, demand, 500, answer);
    }

    private static PlacementRequest digest(long number, long prefix, long nowMillis) {
        return digest(number, prefix, 2, nowMillis);
    }

    private static PlacementRequest digest(long number, long prefix, int priority, long nowMillis) {
        WorkerDemand demand = new WorkerDemand(
                new PromptShape(prefix, 13_000, 16_700),
                Lane.TOLERANT,
                1_200,
                nowMillis + 1_200,
                "a",
                priority,
                true,
                Set.of(),
                "");
        return new PlacementRequest(new PlacementKey("n" + number % 95, number), priority, demand, nowMillis + 420);
    }

    private static PlacementRequest tip(long number, int priority, long nowMillis) {
        WorkerDemand demand = new WorkerDemand(
                new PromptShape(7, 350, 1_400),
                Lane.SENSITIVE,
                250,
                nowMillis + 250,
                "a",
                priority,
                true,
                Set.of(),
                "");
        return new PlacementRequest(new PlacementKey("n" + number % 95, number), priority, demand, nowMillis + 90);
    }

    private static PlacementDecision.Granted granted(PlacementDecision decision) {
        assertTrue(decision instanceof PlacementDecision.Granted, "got " + decision);
        return (PlacementDecision.Granted) decision;
    }

    /**
     * Cold workers and a burst of requests for few prefixes: nodes that decide alone read each prefix at many workers.
     */
    public static class ColdBurst {

        @Test
        public void aPrefixThatIsBeingReadIsNotCopied() {
            PlacementHome home = home(20);
            for (long number = 0; number < 400; number++) {
                PlacementDecision decision = home.submit(digest(number, number % 10, 0), 0);
                if (decision instanceof PlacementDecision.Granted grant) {
                    assertEquals(grant.copyFromId(), grant.reason().endsWith("ask") ? grant.copyFromId() : "");
                }
            }
        }

        /** Requests that the reader cannot serve in time wait until others can copy the prefix from it. */
        @Test
        public void aPrefixIsReadByOneWorkerAndCopiedThen() {
            PlacementHome home = home(20);
            Set<String> readers = new HashSet<>();
            PlacementKey first = null;
            int waiting = 0;
            for (long number = 1; number <= 20; number++) {
                PlacementRequest request = digest(number, 5, 0);
                if (home.submit(request, 0) instanceof PlacementDecision.Granted grant) {
                    readers.add(grant.workerId());
                    first = first == null ? request.key() : first;
                } else {
                    waiting++;
                }
            }
            assertEquals(readers.size(), 1);
            assertTrue(waiting > 5, waiting + " requests wait");
            home.recordFirstEvent(first, 130, 130);
            List<PlacementHome.LateDecision> decisions = home.dispatch(130);
            assertEquals(decisions.size(), waiting);
            for (PlacementHome.LateDecision late : decisions) {
                PlacementDecision.Granted grant = granted(late.decision());
                assertTrue(readers.contains(grant.workerId())
                        || readers.contains(grant.copyFromId())
                        || grant.copyFromId().isEmpty());
                assertTrue(grant.unreadTokens() <= 3_700, "reads only its own part: " + grant.unreadTokens());
            }
        }

        /** The first request may have been cancelled before it was read. */
        @Test
        public void aPrefixThatIsNeverReadDoesNotHoldUpOthersForLong() {
            PlacementHome home = home(20);
            PlacementRequest cancelled = digest(1, 5, 0);
            UpstreamState reader = home.workers()
                    .workers()
                    .get(granted(home.submit(cancelled, 0)).workerId());
            home.release(cancelled.key());
            reader.started(150_000, 150_000);
            reader.addPending(0, 150_000);
            assertTrue(home.submit(digest(2, 5, 1_400), 1_400) instanceof PlacementDecision.Queued);
            granted(home.submit(digest(3, 5, 1_600), 1_600));
        }

        @Test
        public void noWorkerIsGivenMoreThanItsSlots() {
            PlacementHome home = home(5);
            for (long number = 0; number < 1_000; number++) {
                home.submit(tip(number, 0, 0), 0);
            }
            for (UpstreamState worker : home.workers().workers().values()) {
                assertTrue(worker.ownInFlight() <= SLOTS);
            }
            assertTrue(home.queuedRequests() > 0);
        }
    }

    /** A fleet whose places are taken. */
    public static class FullFleet {

        private static List<PlacementKey> fill(PlacementHome home) {
            List<PlacementKey> placed = new ArrayList<>();
            for (long number = 1; ; number++) {
                PlacementRequest request = tip(number, 1, 0);
                if (!(home.submit(request, 0) instanceof PlacementDecision.Granted)) {
                    home.release(request.key());
                    return placed;
                }
                placed.add(request.key());
                home.recordFirstEvent(request.key(), 30, 0);
            }
        }

        @Test
        public void aFreePlaceGoesToTheMostUrgentRequestOfAllNodes() {
            PlacementHome home = home(3);
            List<PlacementKey> placed = fill(home);
            assertTrue(home.submit(tip(9_001, 2, 0), 0) instanceof PlacementDecision.Queued);
            assertTrue(home.submit(tip(9_002, 0, 0), 0) instanceof PlacementDecision.Queued);
            home.release(placed.get(0));
            assertTrue(home.dispatchDue());
            List<PlacementHome.LateDecision> decisions = home.dispatch(10);
            assertEquals(decisions.size(), 1);
            assertEquals(decisions.get(0).key().number(), 9_002);
        }

        @Test
        public void aRequestThatCannotBeginInTimeIsRefusedWithTheBacklog() {
            PlacementHome home = home(3);
            fill(home);
            List<PlacementDecision> decisions = new ArrayList<>();
            for (long number = 9_000; number < 9_200; number++) {
                decisions.add(home.submit(tip(number, 1, 0), 0));
            }
            decisions.removeIf(decision -> decision instanceof PlacementDecision.Queued);
            home.dispatch(91).forEach(late -> decisions.add(late.decision()));
            assertEquals(decisions.size(), 200);
            for (PlacementDecision decision : decisions) {
                assertTrue(decision instanceof PlacementDecision.Refused);
            }
            assertEquals(home.queuedRequests(), 0);
        }

        /** A pass over a long queue at a full fleet kept the home busy for longer than nodes wait for an answer. */
        @Test
        public void aPassOverALongQueueLooksForFewWorkers() {
            AtomicInteger looks = new AtomicInteger();
            PlacementHome home = home(60, (request, workers) -> {
                looks.incrementAndGet();
                return Optional.empty();
            });
            for (long number = 0; number < 500; number++) {
                home.submit(digest(number, number, 0), 0);
            }
            assertTrue(looks.get() <= MAX_LOOKS, looks + " looks for arrivals");
            assertTrue(home.queuedRequests() > MAX_LOOKS, home.queuedRequests() + " wait");
            looks.set(0);
            home.dispatch(10);
            assertTrue(looks.get() <= MAX_LOOKS, looks + " looks in a pass");
        }

        /** Its caller learned only after its longest wait that nobody would serve it. */
        @Test
        public void aRequestBehindMoreWorkThanItCanWaitForIsRefusedOnArrival() {
            PlacementHome home = home(3, (request, workers) -> Optional.empty());
            PlacementDecision last = new PlacementDecision.Queued();
            for (long number = 0; number < 100 && last instanceof PlacementDecision.Queued; number++) {
                last = home.submit(digest(number, number, 0), 0);
            }
            assertTrue(last instanceof PlacementDecision.Refused refused && refused.backlogMillis() > 0, "got " + last);
            assertTrue(home.submit(digest(900, 900, 0, 0), 0) instanceof PlacementDecision.Queued, "more urgent");
        }

        /** A count that nobody can meet must not keep its caller out where others are served. */
        @Test
        public void anAnswerThatIsStatedFarTooLongIsPlacedByItsFirstEvent() {
            PlacementHome home = home(1);
            ExpectedAnswer stated = new ExpectedAnswer(1_000_000, 4_000);
            assertTrue(home.submit(answered(1, 2, stated), 0) instanceof PlacementDecision.Granted);
            assertTrue(home.submit(answered(2, 2, stated), 0) instanceof PlacementDecision.Granted);
        }

        /** Streams ended at their deadlines, since their engines read one prompt after the other beside them. */
        @Test
        public void aPromptIsHeldBackWhereAStreamWouldMissItsEnd() {
            PlacementHome home = home(1);
            ExpectedAnswer longAnswer = new ExpectedAnswer(208, 4_000);
            ExpectedAnswer shortAnswer = new ExpectedAnswer(10, 4_000);
            assertTrue(home.submit(answered(1, 2, longAnswer), 0) instanceof PlacementDecision.Granted);
            int granted = 0;
            for (long number = 2; number < 16; number++) {
                granted +=
                        home.submit(answered(number, 2, shortAnswer), 0) instanceof PlacementDecision.Granted ? 1 : 0;
            }
            assertTrue(granted >= 1 && granted < 13, granted + " prompts beside it");
            assertTrue(
                    home.submit(answered(16, 1, shortAnswer), 0) instanceof PlacementDecision.Granted, "more urgent");
        }

        /** An urgent caller must not be refused while less urgent ones begin, even if it will be late. */
        @Test
        public void anUrgentRequestIsPlacedLateRatherThanRefusedForLessUrgentOnes() {
            PlacementHome home = home(3);
            for (UpstreamState worker : home.workers().workers().values()) {
                worker.started(60_000, 60_000);
                worker.addPending(0, 60_000);
            }
            assertTrue(home.submit(tip(1, 0, 0), 0) instanceof PlacementDecision.Queued);
            home.submit(digest(2, 5, 50), 50);
            UpstreamState free = home.workers().workers().values().stream()
                    .filter(worker -> worker.lane() == Lane.TOLERANT)
                    .findFirst()
                    .orElseThrow();
            free.promptRead(50_000);
            free.addPending(0, -50_000);
            home.workersChanged();
            List<PlacementHome.LateDecision> begun = home.dispatch(60);
            assertEquals(begun.get(0).key().number(), 2);
            List<PlacementHome.LateDecision> late = home.dispatch(95);
            assertEquals(late.size(), 1);
            granted(late.get(0).decision());
        }

        /** If all slots are taken, the next free one is the urgent caller's. */
        @Test
        public void anUrgentRequestThatWillBeLateKeepsItsPlaceBeforeLessUrgentOnes() {
            PlacementHome home = home(1);
            List<PlacementKey> placed = new ArrayList<>();
            for (long number = 0; number < SLOTS; number++) {
                PlacementRequest request = tip(number, 2, 0);
                granted(home.submit(request, 0));
                home.recordFirstEvent(request.key(), 30, 0);
                placed.add(request.key());
            }
            assertTrue(home.submit(tip(500, 0, 0), 0) instanceof PlacementDecision.Queued);
            assertEquals(home.dispatch(95), List.of());
            home.release(placed.get(0));
            List<PlacementHome.LateDecision> late = home.dispatch(200);
            assertEquals(late.get(0).key().number(), 500);
            granted(late.get(0).decision());
        }

        /** Long prompts beside a stream with short gaps would stretch them, however early its first event comes. */
        @Test
        public void aSensitiveStreamWaitsForItsLaneRatherThanRunBesideLongPrompts() {
            PlacementHome home = home(4);
            long sensitiveSlots = SLOTS
                    * home.workers().workers().values().stream()
                            .filter(worker -> worker.lane() == Lane.SENSITIVE)
                            .count();
            for (long number = 0; number < sensitiveSlots; number++) {
                PlacementRequest request = tip(number, 0, 0);
                granted(home.submit(request, 0));
                home.recordFirstEvent(request.key(), 30, 0);
            }
            assertTrue(home.submit(tip(500, 0, 0), 0) instanceof PlacementDecision.Queued);
        }

        /** An engine reads the prompts of more urgent requests first. */
        @Test
        public void anUrgentPromptDoesNotWaitForLessUrgentOnes() {
            PlacementHome home = home(2);
            for (UpstreamState worker : home.workers().workers().values()) {
                worker.started(200_000, 200_000);
                worker.addPending(2, 200_000);
            }
            assertTrue(home.submit(digest(1, 5, 0), 0) instanceof PlacementDecision.Queued);
            WorkerDemand urgent =
                    new WorkerDemand(new PromptShape(9, 0, 3_000), Lane.TOLERANT, 600, 600, "a", 1, true, Set.of(), "");
            granted(home.submit(new PlacementRequest(new PlacementKey("n1", 2), 1, urgent, 200), 0));
        }

        @Test
        public void aWithdrawnRequestGetsNoPlace() {
            PlacementHome home = home(3);
            List<PlacementKey> placed = fill(home);
            PlacementRequest waiting = tip(9_001, 0, 0);
            home.submit(waiting, 0);
            home.release(waiting.key());
            home.release(placed.get(0));
            assertEquals(home.dispatch(10), List.of());
            assertEquals(home.queuedRequests(), 0);
        }
    }

    /** Nodes that end, homes that begin, and reports that arrive twice or late. */
    public static class SoftState {

        @Test
        public void theRequestsOfANodeThatEndsAreForgotten() {
            PlacementHome home = home(3);
            home.submit(tip(7, 0, 0), 0);
            LongStream.range(8, 8 + SLOTS).forEach(number -> home.submit(tip(number, 0, 0), 0));
            assertTrue(home.submit(tip(102, 0, 0), 0) instanceof PlacementDecision.Queued);
            int placed = home.placedRequests();
            int queued = home.queuedRequests();
            home.dropNode("n7");
            assertEquals(home.placedRequests(), placed - 1);
            assertEquals(home.queuedRequests(), queued - 1);
        }

        @Test
        public void aNewHomeCountsWhatNodesHaveInFlight() {
            PlacementHome home = home(3);
            for (long number = 0; number < SLOTS; number++) {
                home.recordPlaced(new PlacementKey("n1", number), "w0", 7, 1_400, 1_000, 0);
                home.recordPlaced(new PlacementKey("n1", number), "w0", 7, 1_400, 1_000, 0);
            }
            UpstreamState worker = home.workers().workers().get("w0");
            assertEquals(worker.ownInFlight(), SLOTS);
            assertEquals(worker.ownPendingTokens(), SLOTS * 1_000L);
            home.retain("n1", Set.of(3L, 4L));
            assertEquals(worker.ownInFlight(), 2);
        }

        @Test
        public void reportsThatArriveTwiceCountOnce() {
            PlacementHome home = home(3);
            PlacementRequest request = tip(1, 0, 0);
            UpstreamState worker = home.workers()
                    .workers()
                    .get(granted(home.submit(request, 0)).workerId());
            home.recordFirstEvent(request.key(), 40, 40);
            home.recordFirstEvent(request.key(), 40, 40);
            home.release(request.key());
            home.release(request.key());
            home.recordFirstEvent(request.key(), 40, 40);
            assertEquals(worker.ownInFlight(), 0);
            assertEquals(worker.ownPendingTokens(), 0);
        }

        /** A node whose links are broken finds each worker silent; that must not take the workers from all others. */
        @Test
        public void oneNodeAloneDoesNotMakeAWorkerSilent() {
            PlacementHome home = home(3);
            UpstreamState worker = home.workers().workers().get("w1");
            for (int report = 0; report < 3; report++) {
                home.recordOutcome("w1", "n1", OutlierDetector.Outcome.SILENT, report);
            }
            assertFalse(worker.outlierDetector().ejected());
            home.recordOutcome("w1", "n2", OutlierDetector.Outcome.SILENT, 4);
            home.recordOutcome("w1", "n3", OutlierDetector.Outcome.SILENT, 5);
            assertTrue(worker.outlierDetector().ejected());
        }

        @Test
        public void aWorkerThatHasLeftIsNotGranted() {
            PlacementHome home = home(3);
            Optional<String> leaving =
                    home.workers().workers().keySet().stream().findFirst();
            home.workers().workers().remove(leaving.orElseThrow());
            for (long number = 0; number < 20; number++) {
                if (home.submit(tip(number, 0, 0), 0) instanceof PlacementDecision.Granted grant) {
                    assertFalse(grant.workerId().equals(leaving.get()));
                }
            }
        }
    }
}
