package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests which home a node asks while some do not respond. */
public class HomeAvailabilityTest {

    private static final List<String> RANKING = List.of("a", "b", "c", "d");

    @Test
    public void aSilentHomeIsReplacedByTheNextUntilItAnswersAProbe() {
        HomeAvailability availability = new HomeAvailability();
        assertEquals(availability.select(RANKING), Optional.of("a"));
        availability.recordSilence("a", 1_000);
        assertEquals(availability.select(RANKING), Optional.of("b"));
        assertEquals(availability.dueProbes(RANKING, 1_100), List.of());
        assertEquals(availability.dueProbes(RANKING, 1_300), List.of("a"));
        assertEquals(availability.select(RANKING), Optional.of("b"));
        assertTrue(availability.recordAnswer("a"));
        assertEquals(availability.select(RANKING), Optional.of("a"));
        assertFalse(availability.recordAnswer("a"));
    }

    /**
     * A node that is cut off finds all homes silent. It decides by itself, without asking the whole deployment first.
     */
    @Test
    public void aNodeThatReachesNoHomeDecidesByItself() {
        HomeAvailability availability = new HomeAvailability();
        availability.recordSilence("a", 0);
        availability.recordSilence("b", 0);
        availability.recordSilence("c", 0);
        assertEquals(availability.select(RANKING), Optional.empty());
    }

    @Test
    public void probesOfAHomeThatStaysSilentBecomeRare() {
        HomeAvailability availability = new HomeAvailability();
        availability.recordSilence("a", 0);
        int probes = 0;
        for (long millis = 0; millis < 60_000; millis += 250) {
            probes += availability.dueProbes(RANKING, millis).size();
        }
        assertTrue(probes >= 10 && probes <= 25, probes + " probes in a minute");
    }
}
