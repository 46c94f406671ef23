package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.ratelimit.PermitSource;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests where a stream that has begun may go on while workers of two software versions serve side by side. */
public class GoingOnStreamTest {

    private static final int SLOTS = 8;
    private static final PromptShape PROMPT = new PromptShape(7, 13_000, 16_700);

    private ServiceWorkers workers;

    @BeforeMethod
    public void start() {
        workers = new ServiceWorkers(new PrefixChooser(), new LeastLoadedChooser(1), PermitSource.UNLIMITED);
        workers.modelEngine(true);
        workers.kvCapacityTokens(60_000);
        for (int index = 0; index < 6; index++) {
            String version = index < 2 ? "old" : "new";
            UpstreamRecord record =
                    new UpstreamRecord("w" + index, 1, "llm", version, "10.0.0." + index, 80, "a", SLOTS, false, 1);
            workers.workers().put(record.id(), workers.newState(record));
        }
        LatencyLanes.assignWorkers(workers.workers().values());
    }

    private static WorkerDemand demand(String version, Lane lane, boolean atHome, Set<String> tried) {
        return new WorkerDemand(PROMPT, lane, 1_000, 0, "a", 1, atHome, tried, version);
    }

    private Optional<String> chosen(WorkerDemand demand) {
        return workers.choose(demand, 10).map(choice -> choice.worker().record().softwareVersion());
    }

    private UpstreamState worker(int index) {
        return workers.workers().get("w" + index);
    }

    @Test
    public void itGoesOnAtItsVersionInEachLaneAndAtEachKindOfService() {
        for (Lane lane : Lane.values()) {
            for (boolean atHome : new boolean[] {false, true}) {
                for (boolean engine : new boolean[] {false, true}) {
                    workers.modelEngine(engine);
                    for (String version : new String[] {"old", "new"}) {
                        assertEquals(chosen(demand(version, lane, atHome, Set.of())), Optional.of(version));
                    }
                }
            }
        }
    }

    /** All workers of its version serve the other lane, and each would exceed its objective and the share of memory. */
    @Test
    public void itIsNotStarvedByLanesObjectivesAndTheShareOfMemory() {
        for (Lane lane : Lane.values()) {
            for (boolean atHome : new boolean[] {false, true}) {
                for (int index = 0; index < 2; index++) {
                    Lane other = lane == Lane.TOLERANT ? Lane.SENSITIVE : Lane.TOLERANT;
                    worker(index).lane(other);
                    worker(index).started(40_000, 50_000);
                }
                assertEquals(chosen(demand("old", lane, atHome, Set.of())), Optional.of("old"), lane + " " + atHome);
            }
        }
    }

    @Test
    public void itGoesOnAtAnEjectedWorkerIfNoOtherHasItsVersion() {
        for (int index = 0; index < 2; index++) {
            for (int failure = 0; failure < 40; failure++) {
                workers.observe(worker(index), OutlierDetector.Outcome.FAILED, 1);
            }
        }
        assertEquals(chosen(demand("old", Lane.TOLERANT, false, Set.of("w0", "w1"))), Optional.of("old"));
    }

    @Test
    public void itWaitsIfItsVersionIsGoneOrFull() {
        assertEquals(chosen(demand("gone", Lane.TOLERANT, false, Set.of())), Optional.empty());
        for (int index = 0; index < 2; index++) {
            for (int request = 0; request < SLOTS; request++) {
                worker(index).started(0, 10);
            }
        }
        assertEquals(chosen(demand("old", Lane.TOLERANT, false, Set.of())), Optional.empty());
    }

    @Test
    public void itsPrefixIsCopiedFromItsVersionOnlyAndThoseOfNewStreamsFromAny() {
        worker(5).cachedSegments().recordUse(PROMPT.prefixHash(), 1);
        worker(5).cachedSegments().recordRead(PROMPT.prefixHash(), 1);
        for (int index = 2; index < 6; index++) {
            for (int request = 0; request < SLOTS; request++) {
                worker(index).started(0, 10);
            }
        }
        UpstreamChooser.Choice begins =
                workers.choose(demand("", Lane.SENSITIVE, false, Set.of()), 10).orElseThrow();
        assertEquals(begins.copyFrom(), Optional.of(worker(5)));
        UpstreamChooser.Choice goesOn = workers.choose(demand("old", Lane.SENSITIVE, false, Set.of()), 10)
                .orElseThrow();
        assertTrue(goesOn.copyFrom().isEmpty()
                || goesOn.copyFrom().get().record().softwareVersion().equals("old"));
        worker(1).cachedSegments().recordUse(PROMPT.prefixHash(), 11);
        worker(1).cachedSegments().recordRead(PROMPT.prefixHash(), 11);
        UpstreamChooser.Choice cached = workers.choose(demand("old", Lane.SENSITIVE, false, Set.of()), 20)
                .orElseThrow();
        assertTrue(cached.worker().equals(worker(1)) || cached.copyFrom().equals(Optional.of(worker(1))));
    }

    @Test
    public void aSilentWorkerKeepsItsStreamIfNoOtherHasItsVersion() {
        assertTrue(workers.mayGoOnElsewhere("old", worker(0)));
        assertTrue(workers.mayGoOnElsewhere("", worker(0)));
        workers.workers().remove("w1");
        assertFalse(workers.mayGoOnElsewhere("old", worker(0)));
    }
}
