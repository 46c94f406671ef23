package io.lagoonseam.bench.placement;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.fleet.StandInClient;
import io.lagoonseam.bench.traffic.ClassProfile;
import io.lagoonseam.bench.traffic.TrafficGenerator;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.configuration.ApplyResult;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.FileSetReader;
import io.lagoonseam.entry.configuration.SourceFile;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public final class VersionChangeTest {

    private static final ClassProfile AFTERCARE =
            new ClassProfile("aftercare", 20, List.of("regina.demo"), "care-1", "", 200, 60, false);
    private static final long TRAFFIC_MILLIS = 4_000;
    private static final long TIMEOUT_SECONDS = 60;

    private static List<SourceFile> placed(List<SourceFile> files, String version) {
        String model = "name: care-1\nservice: care-llm\nversion: ";
        return files.stream()
                .map(file -> new SourceFile(
                        file.name(),
                        file.text().replace(model + "\"1\"", model + "\"" + version + "\"\nleastWorkers: 6")))
                .toList();
    }

    /** Every engine moves to the new version by drain and load, and no request is lost on the way. */
    @Test
    public void movesEveryEngineAndLosesNoRequest() throws Exception {
        List<SourceFile> files =
                FileSetReader.readFolder(Path.of("..", "examples", "lashkeep"), new ConfigurationErrorReporter());
        try (LocalFleet fleet = LocalFleet.start(placed(files, "1"), 2, 5, new NoopEventSink())) {
            Future<TrafficReport> traffic = TrafficGenerator.run(
                    fleet.vertx(),
                    fleet.readyUrls(),
                    fleet.fileSet(),
                    new TrafficProfile(TRAFFIC_MILLIS, List.of(AFTERCARE)),
                    5);
            apply(fleet);
            TrafficReport report = traffic.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            awaitVersion(fleet, "2");
            assertEquals(report.classes().get("aftercare").answered(), report.requests());
            assertEquals(report.wrongAnswers(), 0);
        }
    }

    private static void apply(LocalFleet fleet) throws Exception {
        List<SourceFile> changed = fleet.appliedFiles().stream()
                .map(file -> new SourceFile(file.name(), file.text().replace("version: \"1\"", "version: \"2\"")))
                .toList();
        ConfigurationStore store = new ConfigurationStore(
                new PlatformClient(fleet.vertx(), fleet.platform().url()));
        ApplyResult result = Future.fromCompletionStage(store.apply(changed, "ann", "version 2", 1))
                .await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(result.getClass(), ApplyResult.Applied.class, result.toString());
    }

    private static void awaitVersion(LocalFleet fleet, String version) throws InterruptedException {
        StandInClient standIns = new StandInClient(fleet.vertx());
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        for (ModelEngineStandIn engine : fleet.engines().values()) {
            while (!holds(standIns.get(engine.url() + "/orders"), version)) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new AssertionError("an engine did not move: " + standIns.get(engine.url() + "/orders"));
                }
                Thread.sleep(50);
            }
        }
    }

    private static boolean holds(JsonObject orders, String version) {
        JsonArray models = orders.getJsonArray("models");
        return models.size() == 1
                && models.getJsonObject(0).getString("version").equals(version)
                && "serve".equals(orders.getString("role"));
    }
}
