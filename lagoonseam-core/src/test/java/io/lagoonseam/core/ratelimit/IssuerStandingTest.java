package io.lagoonseam.core.ratelimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which node issues how much of a limit while the nodes change. */
public class IssuerStandingTest {

    private static final String SERVICE = "app";
    private static final double PROVISIONAL = IssuerStanding.PROVISIONAL_SHARE;

    private IssuerStanding standing;

    @BeforeMethod
    public void createStanding() {
        standing = new IssuerStanding(
                "b", (service, nodes) -> nodes.keySet().stream().sorted().toList(), 0);
    }

    private static Map<String, Integer> nodes(String... ids) {
        return List.of(ids).stream().collect(Collectors.toMap(id -> id, id -> 1));
    }

    @Test
    public void theFirstNodeIssuesTheWholeLimitOnceItHasBeenFirstForLong() {
        standing.nodes(nodes("b", "c"), 100);
        assertEquals(standing.share(SERVICE, 9_000), PROVISIONAL);
        assertEquals(standing.share(SERVICE, 10_000), 1.0);
        standing.nodes(nodes("b", "c", "d"), 11_000);
        assertEquals(standing.share(SERVICE, 11_000), 1.0, "it stays the first");
    }

    @Test
    public void aNodeThatBecomesTheFirstBeginsWithASmallShare() {
        standing.nodes(nodes("a", "b"), 100);
        assertEquals(standing.share(SERVICE, 60_000), PROVISIONAL);
        standing.nodes(nodes("b"), 60_000);
        standing.nodes(nodes("b"), 69_000);
        assertEquals(standing.share(SERVICE, 69_000), PROVISIONAL);
        standing.nodes(nodes("b"), 70_100);
        assertEquals(standing.share(SERVICE, 70_100), 1.0);
    }

    @Test
    public void aNodeThatDidNotRunForAWhileBeginsAnew() {
        standing.nodes(nodes("b", "c"), 100);
        standing.reset(60_000);
        assertEquals(standing.share(SERVICE, 60_000), PROVISIONAL);
        assertEquals(standing.share(SERVICE, 70_000), 1.0);
    }

    @Test
    public void otherNodesIssueNothing() {
        standing.nodes(nodes("a", "aa", "b"), 100);
        assertEquals(standing.share(SERVICE, 60_000), 0.0);
        assertEquals(standing.issuers(SERVICE), List.of("a", "aa"));
    }

    @Test
    public void nobodyIssuesAnythingWhileTheNodesAreUnknown() {
        assertTrue(standing.issuers(SERVICE).isEmpty());
        standing.nodes(Map.of(), 100);
        assertEquals(standing.share(SERVICE, 60_000), 0.0);
    }
}
