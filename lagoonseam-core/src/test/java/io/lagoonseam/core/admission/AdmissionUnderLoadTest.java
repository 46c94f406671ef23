package io.lagoonseam.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.time.ManualTimeSource;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class AdmissionUnderLoadTest {

    private static final long LONGEST_WAIT_MILLIS = 2_000;

    private static Ticket ticket(String id, String workspace, Tier tier, long nowMillis, int capacity) {
        return ticket(id, workspace, tier, nowMillis, capacity, 10, nowMillis + 60_000);
    }

    private static Ticket ticket(
            String id, String workspace, Tier tier, long nowMillis, int capacity, int weight, long deadlineMillis) {
        RequestClass requestClass =
                new RequestClass(tier.label(), "care-llm", "level", tier, true, Optional.empty(), Optional.empty());
        ServiceLevel level = new ServiceLevel("level", 800, 27, 60_000, LONGEST_WAIT_MILLIS, weight, capacity);
        return new Ticket(id, workspace, requestClass, level, nowMillis, deadlineMillis);
    }

    public static final class Displacement {

        @Test
        public void urgentDisplacesNewestRequestOfLowestTier() {
            DefaultAdmissionController admission = new DefaultAdmissionController(1);
            admission.offer(ticket("low-1", "a", Tier.LOW, 0, 10));
            admission.offer(ticket("batch-1", "a", Tier.BATCH, 0, 10));
            admission.offer(ticket("batch-2", "a", Tier.BATCH, 0, 10));
            admission.offer(ticket("urgent-1", "a", Tier.URGENT, 0, 10));
            OfferResult result = admission.offer(ticket("urgent-2", "a", Tier.URGENT, 0, 10));
            RefusedTicket shed = ((OfferResult.Queued) result).shed().orElseThrow();
            assertEquals(shed.ticket().id(), "batch-2");
            assertEquals(shed.refusal().event(), EventCode.SHED_FOR_HIGHER_TIER);
            assertTrue(shed.refusal().retryAfterMillis().orElseThrow() > 0);
            assertEquals(admission.size(), 4);
        }

        @Test
        public void urgentDisplacesLowerTierWhenItsQueueIsFull() {
            DefaultAdmissionController admission = new DefaultAdmissionController();
            admission.offer(ticket("urgent-1", "a", Tier.URGENT, 0, 1));
            admission.offer(ticket("batch-1", "a", Tier.BATCH, 0, 2));
            admission.offer(ticket("batch-2", "a", Tier.BATCH, 0, 2));
            OfferResult result = admission.offer(ticket("urgent-2", "a", Tier.URGENT, 0, 1));
            assertEquals(
                    ((OfferResult.Queued) result).shed().orElseThrow().ticket().id(), "batch-2");
            assertTrue(admission.offer(ticket("urgent-3", "a", Tier.URGENT, 0, 1)) instanceof OfferResult.Refused);
        }

        @Test
        public void lowerTierNeverDisplacesUrgent() {
            DefaultAdmissionController admission = new DefaultAdmissionController(1);
            admission.offer(ticket("urgent-1", "a", Tier.URGENT, 0, 10));
            admission.offer(ticket("urgent-2", "a", Tier.URGENT, 0, 10));
            assertTrue(admission.offer(ticket("high-1", "a", Tier.HIGH, 0, 10)) instanceof OfferResult.Queued);
            assertTrue(admission.offer(ticket("high-2", "a", Tier.HIGH, 0, 10)) instanceof OfferResult.Refused);
            assertTrue(admission.cancel("urgent-1") && admission.cancel("urgent-2"));
        }

        @Test
        public void begunRequestIsNotShedOrExpiredAndIsServedFirst() {
            DefaultAdmissionController admission = new DefaultAdmissionController(2);
            admission.offer(ticket("batch-1", "a", Tier.BATCH, 0, 10));
            admission.offer(ticket("begun", "a", Tier.BATCH, 0, 10).requeued(5));
            admission.offer(ticket("urgent-1", "a", Tier.URGENT, 5, 10));
            admission.offer(ticket("urgent-2", "a", Tier.URGENT, 5, 10));
            assertTrue(admission.expire(10_000_000).stream()
                    .noneMatch(shed -> shed.ticket().id().equals("begun")));
            assertEquals(admission.poll(10_000_000).orElseThrow().id(), "begun");
        }
    }

    public static final class Fairness {

        @Test
        public void smallWorkspaceDisplacesNewestRequestOfLargestWorkspace() {
            DefaultAdmissionController admission = new DefaultAdmissionController();
            for (int number = 0; number < 10; number++) {
                admission.offer(ticket("crowd-" + number, "crowd", Tier.STANDARD, 0, 10));
            }
            OfferResult result = admission.offer(ticket("small-1", "small", Tier.STANDARD, 0, 10));
            RefusedTicket shed = ((OfferResult.Queued) result).shed().orElseThrow();
            assertEquals(shed.ticket().id(), "crowd-9");
            assertEquals(shed.refusal().event(), EventCode.SHED_FOR_FAIR_SHARE);
            assertTrue(
                    admission.offer(ticket("crowd-10", "crowd", Tier.STANDARD, 0, 10)) instanceof OfferResult.Refused);
        }

        @Test
        public void workspacesShareClassEqually() {
            DefaultAdmissionController admission = new DefaultAdmissionController();
            for (int number = 0; number < 50; number++) {
                admission.offer(ticket("crowd-" + number, "crowd", Tier.STANDARD, 0, 100));
            }
            admission.offer(ticket("small-1", "small", Tier.STANDARD, 0, 100));
            admission.offer(ticket("small-2", "small", Tier.STANDARD, 0, 100));
            int small = 0;
            for (int start = 0; start < 4; start++) {
                small += admission.poll(1).orElseThrow().workspace().equals("small") ? 1 : 0;
            }
            assertEquals(small, 2);
        }

        @Test
        public void classesShareByWeight() {
            DefaultAdmissionController admission = new DefaultAdmissionController();
            for (int number = 0; number < 400; number++) {
                admission.offer(ticket("high-" + number, "a", Tier.HIGH, 0, 400, 30, 60_000));
                admission.offer(ticket("low-" + number, "a", Tier.LOW, 0, 400, 10, 60_000));
            }
            Map<Tier, Integer> served = new EnumMap<>(Tier.class);
            for (int start = 0; start < 400; start++) {
                Tier tier = admission.poll(1).orElseThrow().requestClass().tier();
                served.merge(tier, 1, Integer::sum);
            }
            assertEquals(served.get(Tier.HIGH), 300, 2);
            assertEquals(served.get(Tier.LOW), 100, 2);
        }

        @Test
        public void longAnswersAreChargedAtActualLength() {
            DefaultAdmissionController admission = new DefaultAdmissionController();
            for (int number = 0; number < 100; number++) {
                admission.offer(ticket("high-" + number, "a", Tier.HIGH, 0, 400, 10, 60_000));
                admission.offer(ticket("low-" + number, "a", Tier.LOW, 0, 400, 10, 60_000));
            }
            int high = 0;
            for (int start = 0; start < 90; start++) {
                Ticket next = admission.poll(1).orElseThrow();
                boolean isHigh = next.requestClass().tier() == Tier.HIGH;
                high += isHigh ? 1 : 0;
                admission.finished(next.id(), isHigh ? 160 : 20, true, 100);
            }
            assertTrue(high <= 20, "class with answers eight times as long got " + high + " of 90 starts");
        }
    }

    public static final class Deadlines {

        private static DefaultAdmissionController withKnownRate(int running) {
            DefaultAdmissionController admission = new DefaultAdmissionController();
            for (int number = 0; number < 40; number++) {
                admission.offer(ticket("learn-" + number, "a", Tier.STANDARD, 0, 100));
                Ticket next = admission.poll(0).orElseThrow();
                admission.finished(next.id(), 100, true, 1_000);
            }
            for (int number = 0; number < running; number++) {
                admission.offer(ticket("run-" + number, "a", Tier.STANDARD, 1_000, 100));
                admission.poll(1_000);
            }
            return admission;
        }

        @Test
        public void refusesOnArrivalWhenDeadlineUnreachable() {
            DefaultAdmissionController admission = withKnownRate(2);
            admission.offer(ticket("ahead", "a", Tier.STANDARD, 1_000, 100));
            OfferResult late = admission.offer(ticket("late", "a", Tier.STANDARD, 1_000, 100, 10, 1_200));
            OfferResult.Refused refused = (OfferResult.Refused) late;
            assertEquals(refused.refusal().event(), EventCode.DEADLINE_UNREACHABLE);
            assertEquals(refused.refusal().verdict().label(), "not_run");
            assertTrue(refused.refusal().retryAfterMillis().isPresent());
            assertTrue(admission.offer(ticket("later", "a", Tier.STANDARD, 1_000, 100)) instanceof OfferResult.Queued);
        }

        @Test
        public void doesNotRefuseAfterIdleTime() {
            DefaultAdmissionController admission = withKnownRate(0);
            assertTrue(
                    admission.offer(ticket("first", "a", Tier.STANDARD, 900_000, 100, 10, 900_050))
                            instanceof OfferResult.Queued);
        }

        @Test
        public void urgentWaitEstimateIgnoresLowerTiers() {
            DefaultAdmissionController admission = withKnownRate(2);
            for (int number = 0; number < 3; number++) {
                admission.offer(ticket("standard-" + number, "b" + number, Tier.STANDARD, 1_000, 100));
            }
            assertTrue(
                    admission.offer(ticket("urgent", "a", Tier.URGENT, 1_000, 100, 10, 1_100))
                            instanceof OfferResult.Queued);
        }
    }

    /** Random arrivals on a virtual clock, compared with an oracle that keeps a list of the waiting requests. */
    public static final class RandomRuns {

        private static final int WORKERS = 4;
        private static final long MEAN_SERVICE_MILLIS = 40;

        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{11L, 1.0}, {12L, 1.8}, {13L, 4.0}, {14L, 1.3}};
        }

        @Test(dataProvider = "seeds")
        public void everyClassIsServedAndNoUrgentIsShed(long seed, double load) {
            Simulation run = new Simulation(seed);
            for (int step = 0; step < 60_000; step++) {
                run.step(load);
            }
            assertEquals(run.invariants.totalViolations(), 0);
            assertEquals(run.served.size(), Tier.values().length, "starts by tier " + run.served);
            assertTrue(run.served.values().stream().allMatch(count -> count > 20), "starts by tier " + run.served);
            run.served
                    .keySet()
                    .forEach(tier -> assertTrue(
                            tier == Tier.URGENT || run.longestWait.get(tier) <= LONGEST_WAIT_MILLIS + 1,
                            tier + " waited " + run.longestWait.get(tier) + " ms"));
        }

        @Test
        public void reservedStartsKeepUrgentWaitsShort() {
            Simulation run = new Simulation(21);
            for (int step = 0; step < 60_000; step++) {
                run.step(1.5);
            }
            assertTrue(
                    run.longestWait.get(Tier.URGENT) < 800,
                    "urgent waited " + run.longestWait.get(Tier.URGENT) + " ms");
        }

        @Test
        public void starvedClassIsReported() {
            InvariantMonitor invariants = new InvariantMonitor(new NoopEventSink());
            ClassStarvationMonitor monitor = new ClassStarvationMonitor(invariants);
            monitor.queued(ticket("starved", "a", Tier.BATCH, 0, 10), 0);
            for (int start = 0; start < 100; start++) {
                Ticket urgent = ticket("urgent-" + start, "a", Tier.URGENT, start * 30, 10);
                monitor.queued(urgent, start * 30L);
                monitor.started(urgent, start * 30L);
            }
            assertEquals(invariants.totalViolations(), 1);
        }

        private static final class Simulation {

            private final ManualTimeSource time = new ManualTimeSource();
            private final InvariantMonitor invariants = new InvariantMonitor(new NoopEventSink());
            private final ClassStarvationMonitor monitor = new ClassStarvationMonitor(invariants);
            private final DefaultAdmissionController admission = new DefaultAdmissionController(200);
            private final Map<String, Ticket> waiting = new LinkedHashMap<>();
            private final Map<String, Long> runningUntil = new HashMap<>();
            private final Map<Tier, Integer> served = new EnumMap<>(Tier.class);
            private final Map<Tier, Long> longestWait = new EnumMap<>(Tier.class);
            private final Random random;
            private int number;

            private Simulation(long seed) {
                this.random = new Random(seed);
            }

            /** Simulates one millisecond: arrivals, cancellations, expiry, ends and starts. */
            private void step(double load) {
                time.advanceMillis(1);
                long nowMillis = time.monotonicMillis();
                if (random.nextDouble() < load * WORKERS / MEAN_SERVICE_MILLIS) {
                    arrive(nowMillis);
                }
                if (random.nextInt(500) == 0 && !waiting.isEmpty()) {
                    cancel();
                }
                admission.expire(nowMillis).forEach(this::shed);
                for (String id : List.copyOf(runningUntil.keySet())) {
                    if (runningUntil.get(id) <= nowMillis) {
                        runningUntil.remove(id);
                        admission.finished(id, 1 + random.nextInt(60), true, nowMillis);
                    }
                }
                start(nowMillis);
                assertEquals(admission.size(), waiting.size());
            }

            private void arrive(long nowMillis) {
                Tier tier = random.nextDouble() < 0.3 ? Tier.URGENT : Tier.values()[random.nextInt(5)];
                String workspace = "w" + random.nextInt(random.nextInt(20) + 1);
                Ticket ticket = ticket(
                        "r" + number++, workspace, tier, nowMillis, 60, 40 / (tier.ordinal() + 1), nowMillis + 3_000);
                boolean lowerTierSheddable = lowerTierHoldsSharedSlot();
                OfferResult result = admission.offer(ticket);
                if (result instanceof OfferResult.Queued queued) {
                    waiting.put(ticket.id(), ticket);
                    monitor.queued(ticket, nowMillis);
                    queued.shed().ifPresent(this::shed);
                    return;
                }
                EventCode reason = ((OfferResult.Refused) result).refusal().event();
                assertFalse(ticket.urgent() && lowerTierSheddable && reason == EventCode.QUEUE_FULL, ticket.id());
            }

            /** Each class has one guaranteed slot; further slots of lower tiers may be taken by urgent requests. */
            private boolean lowerTierHoldsSharedSlot() {
                Map<Tier, Integer> slotsByTier = new EnumMap<>(Tier.class);
                waiting.values()
                        .forEach(other -> slotsByTier.merge(other.requestClass().tier(), 1, Integer::sum));
                return slotsByTier.entrySet().stream()
                        .anyMatch(entry -> entry.getKey() != Tier.URGENT && entry.getValue() > 1);
            }

            private void cancel() {
                List<String> ids = new ArrayList<>(waiting.keySet());
                String id = ids.get(random.nextInt(ids.size()));
                assertTrue(admission.cancel(id));
                monitor.removed(waiting.remove(id));
            }

            private void shed(RefusedTicket shed) {
                Ticket ticket = waiting.remove(shed.ticket().id());
                assertEquals(ticket, shed.ticket());
                monitor.removed(ticket);
                boolean shedForHigherTier = shed.refusal().event() == EventCode.SHED_FOR_HIGHER_TIER;
                assertFalse(ticket.urgent() && shedForHigherTier, ticket.id());
            }

            private void start(long nowMillis) {
                while (runningUntil.size() < WORKERS && !waiting.isEmpty()) {
                    Ticket next = admission.poll(nowMillis).orElseThrow();
                    assertEquals(waiting.remove(next.id()), next);
                    monitor.started(next, nowMillis);
                    Tier tier = next.requestClass().tier();
                    served.merge(tier, 1, Integer::sum);
                    longestWait.merge(tier, nowMillis - next.arrivalMillis(), Math::max);
                    runningUntil.put(next.id(), nowMillis + 1 + random.nextInt((int) (2 * MEAN_SERVICE_MILLIS)));
                }
            }
        }
    }
}
