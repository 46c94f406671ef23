package io.lagoonseam.entry.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that mutated file sets never make the reader throw, and that an accepted file set is the same when it is read
 * back from its parts.
 */
public final class FileSetFuzzTest {

    private static final int ROUNDS = 400;
    private static final String[] INSERTS = {
        "\t",
        "\0",
        "\u007f",
        "\u2028",
        "😀",
        "&a ",
        "*a",
        "!!binary ",
        "{",
        "]",
        ": ",
        "---\n",
        "...\n",
        "1e400",
        ".nan",
        "99999999999999999999",
        "null",
        "\"",
        "'",
        "|\n",
        "<<: ",
        "%YAML 9\n",
        "[".repeat(2_000),
        "? ",
        "#",
        "\ud800"
    };

    @DataProvider
    public Object[][] runs() {
        return new Object[][] {{"lashkeep", 1L}, {"lashkeep", 2L}, {"jadran", 3L}, {"jadran", 4L}};
    }

    private static String mutate(String text, Random random) {
        List<String> lines = new ArrayList<>(List.of(text.split("\n", -1)));
        int line = random.nextInt(lines.size());
        int other = random.nextInt(lines.size());
        switch (random.nextInt(7)) {
            case 0 -> lines.remove(line);
            case 1 -> lines.add(other, lines.get(line));
            case 2 -> Collections.swap(lines, line, other);
            case 3 -> lines.set(line, withValueOf(lines.get(line), lines.get(other)));
            case 4 -> lines.set(line, lines.get(line).replaceAll("\\d+", String.valueOf(random.nextInt(100_000))));
            case 5 -> {
                int at = random.nextInt(lines.get(line).length() + 1);
                String insert = INSERTS[random.nextInt(INSERTS.length)];
                lines.set(
                        line,
                        new StringBuilder(lines.get(line)).insert(at, insert).toString());
            }
            default -> {
                String old = lines.get(line);
                lines.set(line, old.isEmpty() ? "x" : old.substring(random.nextInt(old.length())));
            }
        }
        return String.join("\n", lines);
    }

    /** Returns the key of one line with the value of another. */
    private static String withValueOf(String keyLine, String valueLine) {
        int key = keyLine.indexOf(':');
        int value = valueLine.indexOf(':');
        return key < 0 || value < 0 ? valueLine : keyLine.substring(0, key) + valueLine.substring(value);
    }

    @Test(dataProvider = "runs")
    public void acceptedFileSetsSurviveRoundTripThroughParts(String deployment, long seed) {
        Random random = new Random(seed);
        ConfigurationErrorReporter ignoredFaults = new ConfigurationErrorReporter();
        List<SourceFile> files = FileSetReader.readFolder(Path.of("..", "examples", deployment), ignoredFaults);
        FileSetReader reader = new FileSetReader();
        int accepted = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<SourceFile> mutated = new ArrayList<>(files);
            for (int count = random.nextInt(3); count >= 0; count--) {
                int index = random.nextInt(files.size());
                SourceFile file = mutated.get(index);
                mutated.set(index, new SourceFile(file.name(), mutate(file.text(), random)));
            }
            ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
            Optional<FileSet> fileSet = reader.read(mutated, reporter);
            assertEquals(fileSet.isEmpty(), reporter.hasErrors());
            reporter.errors().forEach(FileSetFuzzTest::checkError);
            if (fileSet.isPresent()) {
                accepted++;
                ConfigurationParts parts = ConfigurationParts.of(mutated);
                ConfigurationErrorReporter readBackReporter = new ConfigurationErrorReporter();
                Optional<FileSet> readBack = new PartReader().read(parts.listing(), parts.texts(), readBackReporter);
                assertEquals(readBackReporter.errors(), List.of());
                assertEquals(readBack.orElseThrow(), fileSet.get());
            }
        }
        assertTrue(accepted > ROUNDS / 20, "accepted file sets: " + accepted);
    }

    private static void checkError(ConfigurationError error) {
        assertTrue(error.file().endsWith(".yaml"), error.toString());
        assertFalse(error.message().isBlank(), error.toString());
    }
}
