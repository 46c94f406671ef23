package io.lagoonseam.core.placement;

import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.platform.FakeObjectStore;
import io.lagoonseam.core.time.ManualTimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Some keepers before one platform, with the checks that must hold after each action. */
final class LeaseWorld {

    static final LeaseOptions OPTIONS = new LeaseOptions(400, 100, 100, 100);

    private final ManualTimeSource time = new ManualTimeSource();
    private final FakeObjectStore platform = new FakeObjectStore();
    private final List<LeaseKeeper> keepers = new ArrayList<>();
    private final Map<Long, Integer> ownerByFencing = new HashMap<>();
    private final StringBuilder trace = new StringBuilder();
    private long highestFencing;
    private long tokens;

    LeaseWorld(int nodes) {
        PlacementEnvironment environment = new PlacementEnvironment(
                platform, new TextLeaseCodec(), OPTIONS, time, () -> "token-" + ++tokens, null, new NoopEventSink());
        for (int node = 0; node < nodes; node++) {
            keepers.add(new LeaseKeeper(environment, "care-llm", "node-" + node));
        }
    }

    /** Runs an action: one for each keeper's tick and release, then time, a lost answer and an outage. */
    void act(int action) {
        int nodes = keepers.size();
        trace.append(action).append(' ');
        if (action < nodes) {
            keepers.get(action).tick();
        } else if (action < 2 * nodes) {
            keepers.get(action - nodes).release();
        } else if (action == 2 * nodes) {
            time.advanceMillis(100);
        } else if (action == 2 * nodes + 1) {
            time.advanceMillis(500);
        } else if (action == 2 * nodes + 2) {
            platform.loseAnswers(1);
        } else {
            platform.outage(action == 2 * nodes + 3);
        }
        check();
    }

    static int actions(int nodes) {
        return 2 * nodes + 5;
    }

    private void check() {
        int holders = 0;
        for (int node = 0; node < keepers.size(); node++) {
            Optional<HeldLease> lease = keepers.get(node).held();
            if (lease.isEmpty()) {
                continue;
            }
            holders++;
            long fencing = lease.get().fencing();
            Integer before = ownerByFencing.putIfAbsent(fencing, node);
            assertTrue(before == null || before == node, "fencing " + fencing + " held by two nodes: " + trace);
            assertTrue(fencing >= highestFencing, "fencing fell to " + fencing + ": " + trace);
            highestFencing = Math.max(highestFencing, fencing);
        }
        assertTrue(holders <= 1, holders + " holders at once: " + trace);
    }

    boolean isHeld() {
        return keepers.stream().anyMatch(keeper -> keeper.held().isPresent());
    }
}
