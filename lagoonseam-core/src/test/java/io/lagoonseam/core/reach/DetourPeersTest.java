package io.lagoonseam.core.reach;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the choice of the node that a request is sent through. */
public class DetourPeersTest {

    private final Random random = new Random(1);
    private final DetourPeers peers = new DetourPeers();

    @Test
    public void anAnswerHoldsForAShortTime() {
        peers.reaches("a", 0, 1_000);
        assertEquals(peers.choose(Set.of(), random, 1_000 + DetourPeers.VALID_MILLIS), Optional.of("a"));
        assertEquals(peers.choose(Set.of(), random, 1_001 + DetourPeers.VALID_MILLIS), Optional.empty());
    }

    @Test
    public void aNodeThatHasNotTakenARequestIsNotChosenForIt() {
        peers.reaches("a", 0, 0);
        peers.reaches("b", 0, 0);
        assertEquals(peers.choose(Set.of("a"), random, 0), Optional.of("b"));
        peers.remove("b");
        assertEquals(peers.choose(Set.of("a"), random, 0), Optional.empty());
    }

    @Test
    public void requestsSpreadOverTheNodesByTheirLoad() {
        for (String id : Set.of("a", "b", "c", "d")) {
            peers.reaches(id, id.equals("a") ? 100 : 0, 0);
        }
        int atBusy = 0;
        for (int number = 0; number < 200; number++) {
            atBusy += peers.choose(Set.of(), random, 0).get().equals("a") ? 1 : 0;
        }
        assertTrue(atBusy <= 30, atBusy + " of 200 at the busy node");
    }
}
