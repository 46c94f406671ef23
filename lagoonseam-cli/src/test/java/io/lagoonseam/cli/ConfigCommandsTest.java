package io.lagoonseam.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.configuration.FileSetReader;
import io.lagoonseam.entry.configuration.InForceReader;
import io.lagoonseam.entry.platform.PlatformClient;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Runs the commands for operators against a local fleet on the loopback address. */
public final class ConfigCommandsTest {

    private static final Path EXAMPLE = Path.of("..", "examples", "lashkeep");

    private static final String NEW_LIMITS = "\"name\":\"fresh\",\"requestsPerSecond\":";

    private LocalFleet fleet;
    private Path folder;

    private record Output(int exitCode, String out, String err) {}

    @BeforeClass
    public void start() throws IOException, InterruptedException {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        fleet = LocalFleet.start(FileSetReader.readFolder(EXAMPLE, reporter), 3, 1, new NoopEventSink());
        awaitReports(new InForceReader(
                new PlatformClient(fleet.vertx(), fleet.platform().url())));
        folder = Files.createTempDirectory("lagoonseam-config");
        Files.writeString(folder.resolve("all.yaml"), config("show").out());
        Files.writeString(folder.resolve("limits.yaml"), limits(1));
    }

    private static void awaitReports(InForceReader reader) throws InterruptedException {
        while (reader.read().toCompletableFuture().join().orElse(List.of()).size() < 3) {
            Thread.sleep(20);
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    private static String limits(int rate) {
        return "kind: Limits\nname: fresh\nrequestsPerSecond: " + rate + "\ntokensPerSecond: 1\nconcurrency: 1\n";
    }

    private static Output run(List<String> arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exitCode = new CommandLineProgram(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(arguments.toArray(new String[0]));
        return new Output(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private Output config(String command, String... moreArguments) {
        List<String> arguments = new ArrayList<>(List.of("config", command));
        arguments.addAll(List.of(moreArguments));
        arguments.addAll(List.of("--platform", fleet.platform().url()));
        return run(arguments);
    }

    private Output apply(String author, String... moreArguments) {
        List<String> arguments = new ArrayList<>(List.of(folder.toString(), "--author", author, "--reason", "test"));
        arguments.addAll(List.of(moreArguments));
        return config("apply", arguments.toArray(new String[0]));
    }

    private String operatorUrl() {
        return "http://127.0.0.1:" + fleet.nodes().get(0).operatorPort();
    }

    @Test(timeOut = 120_000)
    public void appliesFileSetAndReadsItBack() throws Exception {
        String diff = config("diff", folder.toString()).out();
        assertTrue(diff.contains("+ Limits fresh"), diff);
        assertTrue(diff.contains("generation 1: 1 documents differ"), diff);
        Instant before = Instant.now();
        Thread.sleep(2);
        Output applied = apply("ann", "--base", "1", "--wait", "60");
        assertEquals(applied.exitCode(), ExitCode.SUCCESS, applied.err());
        assertTrue(applied.out().contains("generation 2 is current"), applied.out());
        assertTrue(applied.out().contains("in force in all 3 data centres"), applied.out());
        fleet.nodes()
                .forEach(node -> assertEquals(
                        node.configuration().current().orElseThrow().number(), 2));

        Files.writeString(folder.resolve("limits.yaml"), limits(2));
        Output conflicting = apply("bea", "--base", "1", "--wait", "0");
        assertEquals(conflicting.exitCode(), ExitCode.FAILURE);
        assertTrue(conflicting.err().contains("generation 2 by ann went first: test"), conflicting.err());
        assertTrue(conflicting.err().contains("both touch Limits fresh"), conflicting.err());
        assertEquals(apply("bea", "--base", "2", "--wait", "0").exitCode(), ExitCode.SUCCESS);

        assertTrue(config("history").out().contains("generation 3 by bea"));
        assertTrue(config("show").out().contains(NEW_LIMITS + 2));
        assertTrue(config("show", "--generation", "2").out().contains(NEW_LIMITS + 1));
        assertFalse(config("show", "--at", before.toString()).out().contains(NEW_LIMITS + 2));
        assertEquals(config("show", "--at", "1999-01-01T00:00:00Z").exitCode(), ExitCode.FAILURE);
    }

    @Test
    public void statusShowsFleet() {
        Output status = run(List.of("status", "--node", operatorUrl()));
        assertEquals(status.exitCode(), ExitCode.SUCCESS, status.err());
        assertTrue(status.out().contains("\"members\""), status.out());
        assertTrue(status.out().contains("configuration relay"), status.out());
    }

    @Test
    public void explainsRequest() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + fleet.nodes().get(0).callerPort() + "/v1/chat/completions"))
                .header("Authorization", "Bearer regina.demo")
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"model\":\"care-1\",\"messages\":[{\"role\":\"user\",\"content\":\"May I shower?\"}]}"))
                .build();
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(response.statusCode(), 200, response.body());
        String id = response.headers().firstValue("X-Request-Id").orElseThrow();
        Output explanation = run(List.of("explain", id, "--node", operatorUrl()));
        assertEquals(explanation.exitCode(), ExitCode.SUCCESS, explanation.err());
        for (String step : List.of("CLASSIFIED", "generation", "WEIGHED", "ATTEMPT", "ENDED", "verdict")) {
            assertTrue(explanation.out().contains(step), explanation.out());
        }
        assertEquals(run(List.of("explain", "unknown", "--node", operatorUrl())).exitCode(), ExitCode.FAILURE);
    }
}
