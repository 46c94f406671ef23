package io.lagoonseam.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Runs the check of a configuration from files. */
public class ConfigCheckCommandTest {

    private static final String ROUTE =
            "{\"name\":\"r1\",\"host\":\"h\",\"path_prefix\":\"%s\",\"kind\":\"safe\",\"timeout_ms\":%d,"
                    + "\"target_latency_ms\":500,\"service\":\"app\",\"max_attempts\":1}";

    private record Output(int exitCode, String out, String err) {}

    private static Path file(int version, String prefix, int timeoutMillis) throws IOException {
        String route = String.format(ROUTE, prefix, timeoutMillis);
        return text("{\"version\":" + version + ",\"routes\":[" + route + "],\"services\":[{\"name\":\"app\"}]}");
    }

    private static Path text(String content) throws IOException {
        Path file = Files.createTempFile("configuration", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, content);
    }

    private static Output check(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        String[] all = new String[arguments.length + 2];
        all[0] = "config";
        all[1] = "check";
        System.arraycopy(arguments, 0, all, 2, arguments.length);
        int exitCode = new CommandLineProgram(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(all);
        return new Output(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    public void aSoundConfigurationGivesNoFindings() throws IOException {
        assertEquals(check(file(4, "/a/", 5_000).toString()), new Output(ExitCode.SUCCESS, "", ""));
    }

    @Test
    public void findingsAndDifferencesArePrinted() throws IOException {
        Output output = check(
                "--in-force",
                file(4, "/a/", 5_000).toString(),
                file(6, "a", 300).toString());
        assertEquals(output.exitCode(), ExitCode.FAILURE);
        assertTrue(output.out().contains("NEVER_MATCHES route r1: "), output.out());
        assertTrue(output.out().contains("CONTRADICTION route r1: "), output.out());
        assertTrue(output.out().contains("# compared with version 4: 1 differences"), output.out());
    }

    @Test
    public void whatIsNoConfigurationIsNamed() throws IOException {
        assertTrue(check(text("{\"routes\":").toString()).err().contains(".json:1: "));
        assertTrue(check(text("[]").toString()).err().contains("expected a JSON object"));
        assertEquals(check(text("[]").toString()).exitCode(), ExitCode.FAILURE);
        assertEquals(check().exitCode(), ExitCode.USAGE_ERROR);
    }
}
