package io.lagoonseam.entry.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class FileSetReaderTest {

    private static List<ConfigurationError> errorsOf(String text) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        assertTrue(new FileSetReader()
                .read(List.of(new SourceFile("a.yaml", text)), reporter)
                .isEmpty());
        return reporter.errors();
    }

    public static final class Faults {

        @Test
        public void reportsAllAtOnceWithLines() {
            List<ConfigurationError> errors = errorsOf("""
                    kind: Model
                    name: care-1
                    service: nowhere
                    version: "1"
                    ---
                    kind: Workspace
                    name: regina
                    classes: [unknown-class]
                    colour: red
                    ---
                    kind: Nonsense
                    name: x
                    """);
            assertEquals(
                    errors.stream()
                            .map(error -> error.line() + " " + error.key())
                            .toList(),
                    List.of("9 /colour", "11 /kind", "3 /service"));
        }

        @Test
        public void namesKnownReferences() {
            List<ConfigurationError> errors = errorsOf("""
                    kind: Service
                    name: care-llm
                    type: model
                    silenceMillis: 2000
                    ---
                    kind: Model
                    name: care-1
                    service: care-lm
                    version: "1"
                    """);
            assertEquals(errors.get(0).message(), "'care-lm' is not defined; known are care-llm");
        }

        @Test
        public void reportsSyntaxWithLine() {
            List<ConfigurationError> errors = errorsOf("kind: Model\nname: [unclosed\n");
            assertEquals(errors.size(), 1);
            assertTrue(errors.get(0).line() > 0);
        }

        @Test
        public void reportsNamesThatStandTwice() {
            String model = "kind: Limits\nname: a\nrequestsPerSecond: 1\ntokensPerSecond: 1\nconcurrency: 1\n";
            List<ConfigurationError> errors = errorsOf(model + "---\n" + model);
            assertEquals(errors.get(0).line(), 8);
        }
    }

    public static final class Examples {

        @DataProvider
        public Object[][] deployments() {
            return new Object[][] {{"lashkeep"}, {"jadran"}};
        }

        @Test(dataProvider = "deployments")
        public void areValid(String deployment) {
            ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
            List<SourceFile> files = FileSetReader.readFolder(Path.of("..", "examples", deployment), reporter);
            Optional<FileSet> fileSet = new FileSetReader().read(files, reporter);
            assertEquals(reporter.errors(), List.of());
            assertEquals(fileSet.orElseThrow().upstreams().size(), 9);
        }
    }
}
