package io.lagoonseam.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.time.ManualTimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class WorkerTableTest {

    private static final RoutingRequest URGENT = RoutingRequest.withoutPrompt(Tier.URGENT, Set.of());
    private static final RoutingRequest STANDARD = RoutingRequest.withoutPrompt(Tier.STANDARD, Set.of());

    private ManualTimeSource time;
    private WorkerTable table;

    @BeforeMethod
    public void newTable() {
        time = new ManualTimeSource();
        time.advanceMillis(100_000);
        table = new WorkerTable(RoutingPolicy.standard(), time, new Random(5));
    }

    private static List<Upstream> workers(int count) {
        List<Upstream> list = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            list.add(new Upstream("w" + index, "s", "127.0.0.1", 1, "a", 16));
        }
        return list;
    }

    private void observePaces(int count, int stragglers, int rounds) {
        for (int round = 0; round < rounds; round++) {
            for (int index = 0; index < count; index++) {
                table.observePace("w" + index, index < stragglers ? 50 : 10);
            }
        }
        time.advanceMillis(100);
    }

    private int countSelections(RoutingRequest request, String name, int requests) {
        int chosen = 0;
        for (int count = 0; count < requests; count++) {
            Upstream worker = table.acquire(request).orElseThrow();
            chosen += worker.name().equals(name) ? 1 : 0;
            table.release(worker.name());
            time.advanceMillis(10);
        }
        return chosen;
    }

    @Test
    public void stragglerGetsOnlyProbesAndNoUrgentRequests() {
        table.configure(workers(6));
        observePaces(6, 1, 4);
        assertEquals(table.ejected(), List.of("w0"));
        assertEquals(countSelections(STANDARD, "w0", 500), 5);
        assertEquals(countSelections(URGENT, "w0", 500), 0);
    }

    @Test
    public void recoveredStragglerIsNoLongerEjected() {
        table.configure(workers(6));
        observePaces(6, 1, 4);
        observePaces(6, 0, 12);
        assertEquals(table.ejected(), List.of());
        assertTrue(countSelections(URGENT, "w0", 600) > 30, "the recovered worker got less than its fair share");
    }

    @Test
    public void neverEjectsMoreThanHalf() {
        table.configure(workers(6));
        for (int index = 0; index < 6; index++) {
            for (int failure = 0; failure < 5; failure++) {
                table.observeOutcome("w" + index, AttemptOutcome.FAILED);
            }
        }
        assertEquals(table.ejected().size(), 3);
        assertTrue(table.acquire(URGENT).isPresent());
    }

    @Test
    public void soleWorkerIsNeverEjected() {
        table.configure(workers(1));
        table.observeOutcome("w0", AttemptOutcome.MISMATCHED);
        assertEquals(table.acquire(URGENT).orElseThrow().name(), "w0");
    }

    @Test
    public void unreachableWorkerIsEjectedAtOnceAndRestoredByProbe() {
        table.configure(workers(4));
        table.observeOutcome("w2", AttemptOutcome.UNREACHABLE);
        assertEquals(table.ejected(), List.of("w2"));
        time.advanceMillis(20_000);
        Upstream probed = table.acquire(STANDARD).orElseThrow();
        assertEquals(probed.name(), "w2");
        assertFalse(table.acquire(STANDARD).orElseThrow().name().equals("w2"), "only one probe at a time");
        table.observeOutcome("w2", AttemptOutcome.SUCCEEDED);
        assertEquals(table.ejected(), List.of());
    }

    @Test
    public void waitingRequestsLowerLimit() {
        table.configure(workers(1));
        for (int report = 0; report < 40; report++) {
            table.recordLoadReport("w0", 16, 5);
            time.advanceMillis(500);
        }
        int inFlight = 0;
        while (table.hasRoom()) {
            table.acquire(STANDARD).orElseThrow();
            inFlight++;
        }
        assertEquals(inFlight, 1);
        for (int answer = 0; answer < 100; answer++) {
            table.observeOutcome("w0", AttemptOutcome.SUCCEEDED);
            time.advanceMillis(200);
        }
        assertTrue(table.hasRoom(), "the limit did not increase again");
    }

    @Test
    public void capacityLeaseLimitsRequestsUntilItExpires() {
        table.configure(workers(1));
        table.lease("w0", 2, time.monotonicMillis() + 1_000);
        int inFlight = 0;
        while (table.hasRoom()) {
            table.acquire(URGENT).orElseThrow();
            inFlight++;
        }
        assertEquals(inFlight, 2);
        time.advanceMillis(1_000);
        assertTrue(table.hasRoom(), "the expired lease still limits requests");
    }

    @Test
    public void freshLoadReportCountsAndStaleOneDoesNot() {
        table.configure(workers(2));
        table.recordLoadReport("w0", 16, 0);
        table.recordLoadReport("w1", 0, 0);
        assertEquals(countSelections(STANDARD, "w0", 5), 0);
        time.advanceMillis(30_000);
        assertTrue(countSelections(STANDARD, "w0", 200) > 50, "a stale load report still counts");
    }

    @Test
    public void leavingAndRemovedWorkersGetNoRequests() {
        table.configure(workers(3));
        table.markLeaving(Set.of("w1"));
        table.configure(workers(2));
        assertEquals(countSelections(STANDARD, "w0", 50), 50);
    }

    /** Compares the table after random calls with an independent count of the requests in flight. */
    @Test
    public void neverExceedsLimitsNorLosesRequests() {
        for (long seed = 1; seed <= 20; seed++) {
            newTable();
            Random random = new Random(seed);
            Map<String, Integer> inFlight = new HashMap<>();
            for (int step = 0; step < 2_000; step++) {
                randomStep(random, inFlight);
                Map<String, Integer> counted = table.inFlight();
                inFlight.forEach((name, count) -> {
                    assertTrue(count <= 16, name + " has requests in flight: " + count);
                    assertTrue(
                            count == 0 || counted.get(name).equals(count), "requests in flight miscounted at " + name);
                });
            }
        }
    }

    private void randomStep(Random random, Map<String, Integer> inFlight) {
        String name = "w" + random.nextInt(8);
        time.advanceMillis(random.nextInt(50));
        switch (random.nextInt(7)) {
            case 0 -> table.configure(workers(1 + random.nextInt(8)));
            case 1 -> table.observePace(name, 1 + random.nextInt(100));
            case 2 ->
                table.observeOutcome(name, AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)]);
            case 3 -> table.recordLoadReport(name, random.nextInt(16), random.nextInt(3));
            case 4 -> release(name, inFlight);
            default -> acquire(random, inFlight);
        }
    }

    private void release(String name, Map<String, Integer> inFlight) {
        if (inFlight.getOrDefault(name, 0) > 0) {
            table.release(name);
            inFlight.merge(name, -1, Integer::sum);
        }
    }

    private void acquire(Random random, Map<String, Integer> inFlight) {
        boolean room = table.hasRoom();
        Optional<Upstream> worker = table.acquire(random.nextBoolean() ? URGENT : STANDARD);
        assertTrue(!room || worker.isPresent(), "no worker was selected although one has a free slot");
        worker.ifPresent(chosen -> inFlight.merge(chosen.name(), 1, Integer::sum));
    }
}
