package io.lagoonseam.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.bench.soak.SoakLog.Call;
import io.lagoonseam.bench.soak.SoakLog.Drain;
import io.lagoonseam.bench.soak.SoakLog.NodeAction;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.Outcome;
import io.lagoonseam.bench.soak.SoakLog.StoreOutage;
import io.lagoonseam.standin.worker.WorkerStandIn;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that the oracle of the soak finds requests at workers that are leaving, and nothing else. */
public class DrainOracleTest {

    private SoakLog log;

    @BeforeMethod
    public void start() {
        log = new SoakLog();
        log.add(new Drain("p0", 10_000, 16_000));
        log.add(new Call("c0-1", "read", 0, 9_000, 20_000, Outcome.ANSWERED, 200, "", ""));
    }

    private List<String> violations(long... atMillis) {
        List<WorkerStandIn.Arrival> arrivals = java.util.stream.LongStream.of(atMillis)
                .mapToObj(at -> new WorkerStandIn.Arrival("c0-1", at))
                .toList();
        return new DrainOracle(log, Map.of("p0", arrivals)).check();
    }

    @Test
    public void requestsInTimeOrToTheNextIncarnationAreNoViolation() {
        assertEquals(violations(9_000, 11_900, 16_100), List.of());
    }

    @Test
    public void aLateRequestIsFound() {
        List<String> found = violations(12_100, 13_000);
        assertEquals(found.size(), 1);
        assertTrue(found.get(0).startsWith("LEAVING_GETS_NO_WORK p0 got c0-1 2100 ms"), found.toString());
    }

    @Test
    public void faultsOfTheNodeAndTheStoreExcuse() {
        log.add(new NodeEvent(NodeAction.FREEZE, 0, 10_500, 11_000));
        assertEquals(violations(12_100), List.of());
        log = new SoakLog();
        log.add(new Drain("p0", 10_000, 16_000));
        log.add(new Call("c0-1", "read", 0, 9_000, 20_000, Outcome.ANSWERED, 200, "", ""));
        log.add(new StoreOutage(11_000, 11_500));
        assertEquals(violations(12_100), List.of());
    }
}
