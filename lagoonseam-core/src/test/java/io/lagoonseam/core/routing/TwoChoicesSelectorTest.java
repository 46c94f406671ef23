package io.lagoonseam.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

public final class TwoChoicesSelectorTest {

    private final TwoChoicesSelector selector = new TwoChoicesSelector(new Random(3));

    @Test
    public void skipsWorkersWithoutFreeSlot() {
        WorkerState full = new WorkerState("full", 4, 4, 0, 0);
        WorkerState available = new WorkerState("open", 3, 4, 0, 0);
        for (int round = 0; round < 50; round++) {
            assertEquals(selector.select(List.of(full, available)).orElseThrow().name(), "open");
        }
    }

    @Test
    public void selectsNoneWhenAllAreFull() {
        assertTrue(selector.select(List.of(new WorkerState("full", 4, 4, 0, 0))).isEmpty());
    }

    @Test
    public void prefersLessLoadedWorker() {
        WorkerState busy = new WorkerState("busy", 90, 100, 0, 0);
        WorkerState idle = new WorkerState("idle", 0, 100, 0, 0);
        int idleCount = 0;
        for (int round = 0; round < 1_000; round++) {
            String chosen = selector.select(List.of(busy, idle)).orElseThrow().name();
            idleCount += "idle".equals(chosen) ? 1 : 0;
        }
        assertTrue(idleCount > 650, "the idle worker was selected " + idleCount + " times out of 1000");
    }
}
