package io.lagoonseam.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class CommandLineProgramTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... arguments) {
        out.reset();
        err.reset();
        return new CommandLineProgram(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(arguments);
    }

    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {"entry"},
            {"config validate"},
            {"config apply"},
            {"config diff"},
            {"config show"},
            {"config history"},
            {"config watch"},
            {"config hash-key"},
            {"config schema"},
            {"standin"},
            {"load"},
            {"experiment"},
            {"demo"},
            {"status"},
            {"explain"}
        };
    }

    @Test(dataProvider = "commands")
    public void everyCommandHasHelp(String command) {
        assertEquals(run((command + " --help").split(" ")), ExitCode.SUCCESS);
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("lagoonseam " + command));
    }

    @Test
    public void unknownCommandIsUsageError() {
        assertEquals(run("frobnicate"), ExitCode.USAGE_ERROR);
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("'frobnicate' is not a command"));
    }

    @Test
    public void missingRequiredOptionIsReported() {
        assertEquals(run("entry"), ExitCode.USAGE_ERROR);
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("settings"));
    }

    @Test
    public void seedMustBeWholeNumber() {
        assertEquals(run("demo", "--seed", "x"), ExitCode.USAGE_ERROR);
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("--seed"));
    }

    @Test
    public void hashKeyPrintsDocument() {
        assertEquals(run("config", "hash-key", "--name", "a", "--workspace", "w"), ExitCode.SUCCESS);
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("kind: Key"));
    }
}
