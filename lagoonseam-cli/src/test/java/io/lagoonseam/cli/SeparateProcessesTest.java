package io.lagoonseam.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.entry.configuration.KeyHash;
import io.lagoonseam.standin.engine.AnswerText;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Runs the platform, two engines and two entry nodes as separate processes that are connected only by their settings,
 * and kills an entry node, and an engine while it generates an answer.
 */
public final class SeparateProcessesTest {

    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final String PROMPT = "a question with a long answer, number 3";

    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Process> processes = new ArrayList<>();

    private record Program(Process process, String firstLine, Path errors) {

        /** Waits for the end of the program, which has to report success. */
        void awaitSuccess() throws IOException, InterruptedException {
            assertEquals(process.waitFor(), ExitCode.SUCCESS, firstLine + "; " + Files.readString(errors));
        }

        String url() {
            return firstLine.substring(firstLine.indexOf("http"));
        }

        int port(String name) {
            String rest = firstLine.substring(firstLine.indexOf(name) + name.length());
            return Integer.parseInt(rest.replaceFirst("\\D*(\\d+).*", "$1"));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void endProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    private Program start(String... arguments) throws IOException {
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-cp",
                classPath,
                "io.lagoonseam.cli.Main"));
        command.addAll(List.of(arguments));
        Path errors = Files.createTempFile("lagoonseam-test", ".err");
        Process process =
                new ProcessBuilder(command).redirectError(errors.toFile()).start();
        processes.add(process);
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        return new Program(process, reader.readLine(), errors);
    }

    private Program startEntry(Path folder, String nodeId, String platformUrl) throws IOException {
        Path settings = folder.resolve(nodeId + ".yaml");
        Files.writeString(settings, """
                nodeId: %s
                dataCentre: prairie-a
                callers: {host: 127.0.0.1, port: 0}
                operators: {host: 127.0.0.1, port: 0}
                platformUrl: %s
                leaveNoticeMillis: 100
                """.formatted(nodeId, platformUrl));
        return start("entry", "--settings", settings.toString());
    }

    private static String fileSet(int firstPort, int secondPort) {
        return """
                kind: ServiceLevel
                name: level
                firstTokenMillis: 5000
                betweenTokensMillis: 1000
                deadlineMillis: 20000
                longestWaitMillis: 20000
                weight: 10
                queueCapacity: 100
                ---
                {kind: Service, name: care-llm, type: model, silenceMillis: 2000}
                ---
                {kind: Model, name: care-1, service: care-llm, version: "1"}
                ---
                kind: RequestClass
                name: aftercare
                service: care-llm
                serviceLevel: level
                tier: urgent
                idempotent: true
                ---
                {kind: Workspace, name: regina, classes: [aftercare]}
                ---
                {kind: Upstream, name: e1, service: care-llm, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 8}
                ---
                {kind: Upstream, name: e2, service: care-llm, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 8}
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(firstPort, secondPort, SALT, KeyHash.hash(SALT, "demo"));
    }

    private void awaitReady(Program entry) throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + entry.port("operators on") + "/readyz");
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        long endNanos = System.nanoTime() + MAX_WAIT_NANOS;
        while (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
            assertTrue(System.nanoTime() < endNanos, "the entry node is ready in time");
            Thread.sleep(20);
        }
    }

    private CompletableFuture<HttpResponse<String>> sendPrompt(Program entry) {
        String body = "{\"model\":\"care-1\",\"messages\":[{\"role\":\"user\",\"content\":\"" + PROMPT + "\"}]}";
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + entry.port("callers on") + "/v1/chat/completions"))
                .header("Authorization", "Bearer regina.demo")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void assertAnswerMatchesPrompt(HttpResponse<String> response) {
        assertEquals(response.statusCode(), 200, response.body());
        String content = new JsonObject(response.body())
                .getJsonArray("choices")
                .getJsonObject(0)
                .getJsonObject("message")
                .getString("content");
        assertEquals(content, AnswerText.completeText(PROMPT, AnswerText.length(PROMPT, Integer.MAX_VALUE)));
    }

    private int runningStreams(Program engine) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(engine.url() + "/counters")).build();
        String body = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return new JsonObject(body).getInteger("running");
    }

    @Test
    public void answersAfterEntryNodeAndWorkerAreKilled() throws Exception {
        Path folder = Files.createTempDirectory("lagoonseam-test");
        Program platform = start("standin", "platform");
        Program first = start("standin", "engine", "--step-millis", "150");
        Program second = start("standin", "engine", "--step-millis", "150");
        Path files = Files.createDirectory(folder.resolve("files"));
        Files.writeString(files.resolve("all.yaml"), fileSet(first.port("127.0.0.1"), second.port("127.0.0.1")));
        Program applied = start(
                "config", "apply", files.toString(), "--platform", platform.url(), "--author", "ann", "--reason", "t");
        applied.awaitSuccess();
        Program entry1 = startEntry(folder, "entry-1", platform.url());
        Program entry2 = startEntry(folder, "entry-2", platform.url());
        awaitReady(entry1);
        awaitReady(entry2);
        assertAnswerMatchesPrompt(sendPrompt(entry1).get());

        entry1.process().destroyForcibly().waitFor();
        CompletableFuture<HttpResponse<String>> interrupted = sendPrompt(entry2);
        Program busyEngine = awaitBusyEngine(first, second);
        busyEngine.process().destroyForcibly().waitFor();
        assertAnswerMatchesPrompt(interrupted.get());

        entry2.process().destroy();
        entry2.awaitSuccess();
        assertTrue(platform.process().isAlive());
    }

    private Program awaitBusyEngine(Program first, Program second) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + MAX_WAIT_NANOS;
        while (true) {
            assertTrue(System.nanoTime() < endNanos, "an engine is busy before the answer is complete");
            if (runningStreams(first) > 0) {
                return first;
            }
            if (runningStreams(second) > 0) {
                return second;
            }
            Thread.sleep(10);
        }
    }
}
