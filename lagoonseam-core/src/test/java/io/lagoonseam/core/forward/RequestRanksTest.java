package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import org.testng.annotations.Test;

/** Checks the order of requests whose workspaces and routes have priorities. */
public class RequestRanksTest {

    private static final List<Route> ROUTES = List.of(route("tip", 0), route("reply", 1), route("digest", 2));

    private static final RequestRanks RANKS =
            new RequestRanks(ROUTES, List.of(workspace(OptionalInt.of(0)), workspace(OptionalInt.of(1))));

    private static Route route(String name, int priority) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                WorkKind.STREAM,
                5_000,
                500,
                300,
                priority,
                List.of(new WeightedService("llm", 1)),
                1,
                false);
    }

    private static KeyWorkspace workspace(OptionalInt priority) {
        return new KeyWorkspace("w" + priority, priority);
    }

    /** Digests of a workspace came before its tips if they arrived earlier: the route's priority was lost. */
    @Test
    public void theRoutesOfAWorkspaceKeepTheirOrder() {
        assertTrue(RANKS.rank(1, "tip") < RANKS.rank(1, "reply"));
        assertTrue(RANKS.rank(1, "reply") < RANKS.rank(1, "digest"));
    }

    @Test
    public void thePriorityOfTheWorkspaceComesFirst() {
        assertTrue(RANKS.rank(0, "digest") < RANKS.rank(1, "tip"));
        assertTrue(RANKS.rank(1, "digest") < RANKS.rank(2, "digest"));
    }

    @Test
    public void withoutWorkspacesTheOrderIsThatOfTheRoutes() {
        RequestRanks ranks = new RequestRanks(ROUTES, List.of(workspace(OptionalInt.empty())));
        assertEquals(ranks.rank(0, "tip"), 0);
        assertEquals(ranks.rank(1, "reply"), 1);
        assertEquals(ranks.rank(2, "digest"), 2);
    }

    @Test
    public void aRouteOfAnotherVersionRanksByThePriorityOfTheRequest() {
        assertEquals(RANKS.rank(0, "gone"), RANKS.rank(0, "tip"));
        assertTrue(RANKS.rank(7, "gone") > RANKS.rank(1, "digest"));
    }

    @Test
    public void noRoutesAtAllGiveOneRank() {
        assertEquals(new RequestRanks(List.of(), List.of()).rank(3, "any"), 0);
    }
}
