package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which nodes are the homes of services in a deployment of 15 large and 80 small nodes. */
public class HomeRankingTest {

    private static Map<String, Integer> nodes() {
        Map<String, Integer> capacities = new HashMap<>();
        for (int index = 0; index < 95; index++) {
            capacities.put("10.0.0." + index + ":7000", index < 15 ? 1_500 : 360);
        }
        return capacities;
    }

    @Test
    public void onlyLargeNodesAreCandidates() {
        List<String> ranking = HomeRanking.rank("llm", nodes());
        assertEquals(ranking.size(), 15);
        ranking.forEach(node -> assertEquals(nodes().get(node), Integer.valueOf(1_500)));
    }

    @Test
    public void allNodesAreCandidatesIfTooFewAreLarge() {
        Map<String, Integer> capacities = nodes();
        capacities.replaceAll((node, capacity) -> node.equals("10.0.0.3:7000") ? 1_500 : 360);
        assertEquals(HomeRanking.rank("llm", capacities).size(), 95);
        assertTrue(HomeRanking.rank("llm", Map.of()).isEmpty());
    }

    /** If the home is lost, the second of the ranking takes over; nothing else moves. */
    @Test
    public void theRankingOfTheOthersDoesNotDependOnALostNode() {
        Map<String, Integer> capacities = nodes();
        List<String> before = HomeRanking.rank("llm", capacities);
        capacities.remove(before.get(0));
        assertEquals(HomeRanking.rank("llm", capacities), before.subList(1, before.size()));
    }

    @Test
    public void servicesHaveDifferentHomes() {
        Set<String> homes = new HashSet<>();
        for (int service = 0; service < 100; service++) {
            homes.add(HomeRanking.rank("service-" + service, nodes()).get(0));
        }
        assertFalse(homes.size() < 12, "homes of 100 services: " + homes.size());
    }
}
