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

    private void pace(int count, int stragglers, int rounds) {
        for (int round = 0; round < rounds; round++) {
            for (int index = 0; index < count; index++) {
                table.observePace("w" + index, index < stragglers ? 50 : 10);
            }
        }
        time.advanceMillis(100);
    }

    private int share(RoutingRequest request, String name, int requests) {
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
    public void stragglerGetsOnlyProbesAndNoUrgentWork() {
        table.configure(workers(6));
        pace(6, 1, 4);
        assertEquals(table.aside(), List.of("w0"));
        assertEquals(share(STANDARD, "w0", 500), 5);
        assertEquals(share(URGENT, "w0", 500), 0);
    }

    @Test
    public void recoveredStragglerComesBack() {
        table.configure(workers(6));
        pace(6, 1, 4);
        pace(6, 0, 12);
        assertEquals(table.aside(), List.of());
        assertTrue(share(URGENT, "w0", 600) > 30, "the worker got no fair share");
    }

    @Test
    public void neverSetsMoreThanHalfAside() {
        table.configure(workers(6));
        for (int index = 0; index < 6; index++) {
            for (int failure = 0; failure < 5; failure++) {
                table.observeResult("w" + index, AttemptResult.FAILED);
            }
        }
        assertEquals(table.aside().size(), 3);
        assertTrue(table.acquire(URGENT).isPresent());
    }

    @Test
    public void soleWorkerIsNeverSetAside() {
        table.configure(workers(1));
        table.observeResult("w0", AttemptResult.MISMATCHED);
        assertEquals(table.acquire(URGENT).orElseThrow().name(), "w0");
    }

    @Test
    public void unreachableWorkerIsSetAsideAtOnceAndProbedBack() {
        table.configure(workers(4));
        table.observeResult("w2", AttemptResult.UNREACHABLE);
        assertEquals(table.aside(), List.of("w2"));
        time.advanceMillis(20_000);
        Upstream probed = table.acquire(STANDARD).orElseThrow();
        assertEquals(probed.name(), "w2");
        assertFalse(table.acquire(STANDARD).orElseThrow().name().equals("w2"), "only one probe at a time");
        table.observeResult("w2", AttemptResult.SUCCEEDED);
        assertEquals(table.aside(), List.of());
    }

    @Test
    public void waitingAtWorkerLowersItsLimit() {
        table.configure(workers(1));
        for (int report = 0; report < 40; report++) {
            table.report("w0", 16, 5);
            time.advanceMillis(500);
        }
        int held = 0;
        while (table.hasRoom()) {
            table.acquire(STANDARD).orElseThrow();
            held++;
        }
        assertEquals(held, 1);
        for (int answer = 0; answer < 100; answer++) {
            table.observeResult("w0", AttemptResult.SUCCEEDED);
            time.advanceMillis(200);
        }
        assertTrue(table.hasRoom(), "the limit did not grow again");
    }

    @Test
    public void freshReportCountsAndStaleOneDoesNot() {
        table.configure(workers(2));
        table.report("w0", 16, 0);
        table.report("w1", 0, 0);
        assertEquals(share(STANDARD, "w0", 5), 0);
        time.advanceMillis(30_000);
        assertTrue(share(STANDARD, "w0", 200) > 50, "a stale report still counts");
    }

    @Test
    public void leavingAndRemovedWorkersGetNothing() {
        table.configure(workers(3));
        table.markLeaving(Set.of("w1"));
        table.configure(workers(2));
        assertEquals(share(STANDARD, "w0", 50), 50);
    }

    /** Random calls against a count of what is held. */
    @Test
    public void neverExceedsLimitsNorForgetsRequests() {
        for (long seed = 1; seed <= 20; seed++) {
            newTable();
            Random random = new Random(seed);
            Map<String, Integer> held = new HashMap<>();
            for (int step = 0; step < 2_000; step++) {
                randomStep(random, held);
                Map<String, Integer> counted = table.inFlight();
                held.forEach((name, count) -> {
                    assertTrue(count <= 16, name + " holds " + count);
                    assertTrue(count == 0 || counted.get(name).equals(count), name + " lost requests");
                });
            }
        }
    }

    private void randomStep(Random random, Map<String, Integer> held) {
        String name = "w" + random.nextInt(8);
        time.advanceMillis(random.nextInt(50));
        switch (random.nextInt(7)) {
            case 0 -> table.configure(workers(1 + random.nextInt(8)));
            case 1 -> table.observePace(name, 1 + random.nextInt(100));
            case 2 -> table.observeResult(name, AttemptResult.values()[random.nextInt(AttemptResult.values().length)]);
            case 3 -> table.report(name, random.nextInt(16), random.nextInt(3));
            case 4 -> release(name, held);
            default -> acquire(random, held);
        }
    }

    private void release(String name, Map<String, Integer> held) {
        if (held.getOrDefault(name, 0) > 0) {
            table.release(name);
            held.merge(name, -1, Integer::sum);
        }
    }

    private void acquire(Random random, Map<String, Integer> held) {
        boolean room = table.hasRoom();
        Optional<Upstream> worker = table.acquire(random.nextBoolean() ? URGENT : STANDARD);
        assertTrue(!room || worker.isPresent(), "a worker with room was not used");
        worker.ifPresent(chosen -> held.merge(chosen.name(), 1, Integer::sum));
    }
}
