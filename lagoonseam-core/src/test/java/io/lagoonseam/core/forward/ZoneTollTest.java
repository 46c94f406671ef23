package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.ratelimit.PermitSource;
import java.util.Set;
import org.testng.annotations.Test;

/** Checks which requests leave their data centre, and how many. */
public class ZoneTollTest {

    private static final int SLOTS = 16;
    private static final int WORKERS = 4;
    private static final long OBJECTIVE_MILLIS = 600;

    private ServiceWorkers fleet(boolean engines) {
        ServiceWorkers fleet =
                new ServiceWorkers(new PrefixChooser(), new LeastLoadedChooser(1), PermitSource.UNLIMITED);
        fleet.modelEngine(engines);
        for (String zone : new String[] {"a", "b"}) {
            for (int index = 0; index < WORKERS; index++) {
                UpstreamRecord record =
                        new UpstreamRecord(zone + index, 1, "llm", "v1", "10.0.0." + index, 80, zone, SLOTS, false, 1);
                fleet.workers().put(record.id(), fleet.newState(record));
            }
        }
        return fleet;
    }

    private static WorkerDemand demand(String zone, PromptShape prompt, boolean atHome) {
        return new WorkerDemand(
                prompt, Lane.TOLERANT, OBJECTIVE_MILLIS, OBJECTIVE_MILLIS, zone, 1, atHome, Set.of(), "");
    }

    private static PromptShape prompt(long prefix, int prefixTokens) {
        return new PromptShape(prefix, prefixTokens, prefixTokens + 1_000);
    }

    /** Places a request and returns the data centre of its worker. */
    private static String place(ServiceWorkers fleet, WorkerDemand demand) {
        UpstreamChooser.Choice choice = fleet.choose(demand, 0).orElseThrow();
        UpstreamState worker = choice.worker();
        worker.started(choice.unreadTokens(), demand.prompt().tokens());
        worker.addPending(1, choice.unreadTokens());
        if (demand.prompt().prefixTokens() > 0) {
            worker.cachedSegments().recordUse(demand.prompt().prefixHash(), 0);
            worker.cachedSegments().recordRead(demand.prompt().prefixHash(), 0);
        }
        return worker.record().dataCentre();
    }

    @Test
    public void aRequestWithAShortPrefixStays() {
        ServiceWorkers fleet = fleet(true);
        for (long prefix = 1; prefix <= 8; prefix++) {
            assertEquals(place(fleet, demand("a", prompt(prefix, 350), true)), "a");
            assertEquals(place(fleet, demand("b", prompt(prefix, 350), true)), "b");
        }
    }

    /** Reading a long prefix once more costs the fleet more than the way. */
    @Test
    public void aRequestLeavesForALongPrefixThatIsHeldElsewhere() {
        for (long prefix = 1; prefix <= 8; prefix++) {
            ServiceWorkers fleet = fleet(true);
            String holder = place(fleet, demand("a", prompt(prefix, 13_000), true));
            assertEquals(place(fleet, demand("b", prompt(prefix, 13_000), true)), holder);
        }
    }

    @Test
    public void onlyWhatNearWorkersCannotServeLeaves() {
        ServiceWorkers fleet = fleet(true);
        int left = 0;
        int stayed = 0;
        for (long number = 0; number < 70; number++) {
            boolean near = place(fleet, demand("a", prompt(0, 0), true)).equals("a");
            left += near ? 0 : 1;
            stayed += near ? 1 : 0;
        }
        assertTrue(left >= 1, "none left");
        assertTrue(stayed >= left + 8, stayed + " stayed, " + left + " left");
    }

    /** While one data centre sends what is too much for it, the other one sends nothing back. */
    @Test
    public void dataCentresDoNotTradePlaces() {
        ServiceWorkers fleet = fleet(true);
        int fromA = 0;
        int fromB = 0;
        for (long number = 0; number < 80; number++) {
            fromA += place(fleet, demand("a", prompt(0, 0), true)).equals("b") ? 1 : 0;
            if (number % 8 == 0) {
                fromB += place(fleet, demand("b", prompt(0, 0), true)).equals("a") ? 1 : 0;
            }
        }
        assertTrue(fromA > 0, "none left");
        assertEquals(fromB, 0, "requests that came the other way");
    }

    @Test
    public void aPlainRequestLeavesWhereNearWorkersAreBusier() {
        ServiceWorkers fleet = fleet(false);
        int near = 0;
        String last = "a";
        while (last.equals("a")) {
            last = place(fleet, demand("a", prompt(0, 0), true));
            near++;
        }
        assertTrue(near > WORKERS * 2 && near < WORKERS * SLOTS, near + " before one left");
    }

    @Test
    public void nodesThatDecideAloneAreNotConcerned() {
        ServiceWorkers fleet = fleet(true);
        UpstreamState far = fleet.workers().get("b0");
        ChoiceRequest alone =
                demand("a", prompt(1, 350), false).choiceRequest(0, Set.of(), false, PromptRoom.UNLIMITED, 0);
        assertEquals(ZoneToll.millis(alone, far), 0.0);
        assertTrue(!ZoneToll.comesLast(alone, far));
    }
}
