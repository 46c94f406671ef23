package io.lagoonseam.bench.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.traffic.ClassProfile;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.configuration.FileSetReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

public final class LoadRunTest {

    private static final ClassProfile AFTERCARE =
            new ClassProfile("aftercare", 40, List.of("regina.demo"), "care-1", "", 200, 20, false);

    @Test
    public void checksEveryAnswerAndWritesTheReport() throws Exception {
        Path example = Path.of("..", "examples", "lashkeep");
        Path folder = Files.createTempDirectory("lagoonseam-load");
        TrafficProfile profile = new TrafficProfile(500, List.of(AFTERCARE));
        try (LocalFleet fleet = LocalFleet.start(
                FileSetReader.readFolder(example, new ConfigurationErrorReporter()), 1, 5, new NoopEventSink())) {
            String target = "http://127.0.0.1:" + fleet.nodes().get(0).callerPort();
            LoadRun run = new LoadRun(
                    List.of(target), fleet.fileSet(), profile, new PrintStream(OutputStream.nullOutputStream()));
            TrafficReport report = run.run(5);
            new LoadReportWriter(folder).write(report, run.samples());
            assertTrue(report.requests() > 0);
            assertEquals(report.ended(), report.requests());
            assertEquals(report.wrongAnswers(), 0);
        }
        assertTrue(Files.size(folder.resolve("first-token.png")) > 0);
        assertTrue(Files.readString(folder.resolve("report.md")).contains("aftercare"));
    }
}
