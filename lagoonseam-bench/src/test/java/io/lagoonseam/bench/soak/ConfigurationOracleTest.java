package io.lagoonseam.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.bench.soak.SoakLog.ConfigurationChange;
import io.lagoonseam.bench.soak.SoakLog.NodeAction;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.Probe;
import io.lagoonseam.bench.soak.SoakLog.StoreOutage;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that the oracle of the soak finds configurations that come too late or revert, and nothing else. */
public class ConfigurationOracleTest {

    private SoakLog log;

    @BeforeMethod
    public void start() {
        log = new SoakLog();
        log.add(new ConfigurationChange(1, 10_000));
        log.add(new ConfigurationChange(2, 20_000));
    }

    private void probe(int number, long atMillis, boolean found) {
        log.add(new Probe(0, number, atMillis, atMillis + 5, found));
    }

    private List<String> violations() {
        return new ConfigurationOracle(log).check();
    }

    private void assertViolation(String name) {
        List<String> violations = violations();
        assertEquals(violations.size(), 1, violations.toString());
        assertTrue(violations.get(0).startsWith(name), violations.toString());
    }

    @Test
    public void changesInTimeAreNoViolation() {
        probe(1, 13_000, false);
        probe(1, 14_500, true);
        probe(1, 23_900, true);
        probe(2, 23_950, true);
        probe(1, 24_100, false);
        probe(2, 24_200, true);
        assertEquals(violations(), List.of());
    }

    @Test
    public void aRouteThatIsMissingTooLongIsFound() {
        probe(1, 14_100, false);
        assertViolation("CONFIGURATION");
    }

    @Test
    public void aRouteThatIsThereTooLongIsFound() {
        probe(1, 24_100, true);
        assertViolation("CONFIGURATION");
    }

    @Test
    public void anOutageOfTheStoreExcusesDelays() {
        log.add(new StoreOutage(21_000, 22_500));
        probe(1, 24_100, true);
        assertEquals(violations(), List.of());
    }

    @Test
    public void aConfigurationThatRevertsAfterAPauseIsFound() {
        probe(2, 21_000, true);
        log.add(new NodeEvent(NodeAction.FREEZE, 0, 21_100, 22_000));
        probe(1, 22_100, true);
        assertViolation("GENERATION_NEVER_FALLS");
    }

    @Test
    public void aNodeThatStartedAgainMayBeginWithAnOlderOne() {
        probe(2, 21_000, true);
        log.add(new NodeEvent(NodeAction.KILL, 0, 21_100, 22_000));
        probe(1, 22_100, true);
        assertEquals(violations(), List.of());
    }
}
