package io.lagoonseam.core.resume;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.forward.Route;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.WeightedService;
import io.lagoonseam.core.forward.WorkKind;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests when a service is known to have had only one software version for the time of a stream. */
public class VersionHistoryTest {

    private static final long WINDOW_MILLIS = 10_000;

    private final VersionHistory history = new VersionHistory();

    private void observe(long fromMillis, long toMillis, String... versions) {
        List<UpstreamRecord> workers = Stream.of(versions)
                .map(version -> new UpstreamRecord("w" + version, 1, "llm", version, "h", 80, "a", 4, false, 1))
                .toList();
        for (long at = fromMillis; at <= toMillis; at += 250) {
            history.observe(workers, at);
        }
    }

    private String only(long nowMillis) {
        return history.versions("llm", WINDOW_MILLIS, nowMillis).only();
    }

    @Test
    public void theOnlyVersionIsKnownAfterTheWholeTimeAndUntilAnotherOneServes() {
        VersionHistory fresh = new VersionHistory();
        assertEquals(fresh.versions("llm", WINDOW_MILLIS, 0).only(), "");
        observe(0, 9_750, "v1");
        assertEquals(only(9_750), "");
        observe(10_000, 12_000, "v1");
        assertEquals(only(12_000), "v1");
        observe(12_250, 12_250, "v1", "v2");
        assertEquals(only(12_250), "");
        observe(12_500, 22_250, "v2");
        assertEquals(only(22_250), "");
        observe(22_500, 22_500, "v2");
        assertEquals(only(22_500), "v2");
        assertEquals(history.versions("other", WINDOW_MILLIS, 22_500).only(), "");
    }

    @Test
    public void aNodeThatStoodStillDoesNotKnow() {
        VersionHistory paused = new VersionHistory();
        UpstreamRecord worker = new UpstreamRecord("w", 1, "llm", "v1", "h", 80, "a", 4, false, 1);
        for (long at = 0; at <= 20_000; at += 250) {
            paused.observe(List.of(worker), at);
        }
        assertEquals(paused.versions("llm", WINDOW_MILLIS, 20_000).only(), "v1");
        paused.observe(List.of(worker), 24_000);
        assertEquals(paused.versions("llm", WINDOW_MILLIS, 24_000).only(), "");
    }

    @Test
    public void aWorkerOfUnknownVersionIsNoVersion() {
        VersionHistory unknown = new VersionHistory();
        UpstreamRecord worker = new UpstreamRecord("w", 1, "llm", "", "h", 80, "a", 4, false, 1);
        for (long at = 0; at <= 20_000; at += 250) {
            unknown.observe(List.of(worker), at);
        }
        assertEquals(unknown.versions("llm", WINDOW_MILLIS, 20_000).only(), "");
    }

    @Test
    public void nodesKnowTogetherWhatOneAloneDoesNot() {
        VersionHistory.Versions seen = new VersionHistory.Versions(true, java.util.Set.of("v1"));
        VersionHistory.Versions blind = new VersionHistory.Versions(false, java.util.Set.of());
        VersionHistory.Versions newer = new VersionHistory.Versions(false, java.util.Set.of("v2"));
        assertEquals(blind.plus(seen).only(), "v1");
        assertEquals(seen.plus(newer).only(), "");
    }

    private static Route route(String... services) {
        List<WeightedService> weighted =
                Stream.of(services).map(name -> new WeightedService(name, 1)).toList();
        return new Route("r", "h", "/t/", WorkKind.RESUMABLE_STREAM, 3_000, 300, 200, 1, weighted, 2, false);
    }

    @Test
    public void aRouteThatLedElsewhereTellsNothing() {
        RouteHistory routes = new RouteHistory();
        routes.observe(List.of(route("llm")), 0);
        ServiceWindow window = RouteHistory.window(route("llm"), 1_000);
        assertEquals(window, new ServiceWindow("h/t/", "llm", 8_000));
        assertFalse(routes.ledOnlyTo(window, 7_999));
        routes.observe(List.of(route("llm")), 5_000);
        assertTrue(routes.ledOnlyTo(window, 8_000));
        routes.observe(List.of(route("other")), 9_000);
        routes.observe(List.of(route("llm")), 10_000);
        assertFalse(routes.ledOnlyTo(window, 17_999));
        assertTrue(routes.ledOnlyTo(window, 18_000));
        assertEquals(RouteHistory.window(route("llm", "other"), 0).service(), "");
    }

    /** Guards against a version that came and went while a node was out of step (further report of the review). */
    @Test
    public void aNodeThatDidNotFollowTheWorkersDoesNotKnow() {
        VersionHistory outOfStep = new VersionHistory();
        UpstreamRecord worker = new UpstreamRecord("w", 1, "llm", "v1", "h", 80, "a", 4, false, 1);
        for (long at = 0; at <= 20_000; at += 250) {
            outOfStep.observe(List.of(worker), at);
        }
        outOfStep.notFollowed(1_500, 20_000);
        assertEquals(outOfStep.versions("llm", WINDOW_MILLIS, 20_000).only(), "v1");
        outOfStep.notFollowed(5_000, 20_000);
        assertEquals(outOfStep.versions("llm", WINDOW_MILLIS, 20_000).only(), "");
        for (long at = 20_250; at <= 30_000; at += 250) {
            outOfStep.observe(List.of(worker), at);
        }
        assertEquals(outOfStep.versions("llm", WINDOW_MILLIS, 30_000).only(), "v1");
    }
}
