package io.lagoonseam.entry.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import java.io.IOException;
import java.nio.file.Files;
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
        public void reportsAllFaultsTogetherWithLines() {
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
        public void listsDefinedNamesForUnknownReference() {
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
            assertEquals(errors.get(0).message(), "'care-lm' is not defined; defined names: care-llm");
        }

        @Test
        public void reportsSyntaxWithLine() {
            List<ConfigurationError> errors = errorsOf("kind: Model\nname: [unclosed\n");
            assertEquals(errors.size(), 1);
            assertTrue(errors.get(0).line() > 0);
        }

        @Test
        public void readsAFileOfFourMegabytes() {
            String limits = "kind: Limits\nname: a\nrequestsPerSecond: 1\ntokensPerSecond: 1\nconcurrency: 1\n";
            String comment = "# " + "c".repeat(998) + "\n";
            ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
            List<SourceFile> files = List.of(new SourceFile("a.yaml", limits + comment.repeat(4_000)));
            assertTrue(new FileSetReader().read(files, reporter).isPresent(), "errors " + reporter.errors());
        }

        @Test
        public void reportsDuplicateNames() {
            String model = "kind: Limits\nname: a\nrequestsPerSecond: 1\ntokensPerSecond: 1\nconcurrency: 1\n";
            List<ConfigurationError> errors = errorsOf(model + "---\n" + model);
            assertEquals(errors.get(0).line(), 8);
        }
    }

    public static final class Rules {

        private static final String SERVICES = """
                {kind: Service, name: care-llm, type: model, silenceMillis: 2000}
                ---
                {kind: Service, name: studio-app, type: plain, silenceMillis: 2000}
                ---
                {kind: Service, name: other-llm, type: model, silenceMillis: 2000}
                ---
                {kind: Model, name: other-1, service: other-llm, version: "1"}
                ---
                kind: ServiceLevel
                name: level
                firstTokenMillis: 1
                betweenTokensMillis: 1
                deadlineMillis: 1
                longestWaitMillis: 1
                weight: 1
                queueCapacity: 1
                ---
                """;

        private static String onlyMessage(String text) {
            List<ConfigurationError> errors = errorsOf(text);
            assertEquals(errors.size(), 1, errors.toString());
            return errors.get(0).message();
        }

        private static String requestClass(String service) {
            return SERVICES + "{kind: RequestClass, name: c, service: " + service
                    + ", serviceLevel: level, tier: low, idempotent: true, model: other-1}";
        }

        @Test
        public void rejectsDuplicateAddresses() {
            String upstream = "dataCentre: a, service: care-llm, concurrency: 1, host: 127.0.0.1, port: 80}\n";
            assertEquals(
                    onlyMessage(SERVICES + "{kind: Upstream, name: u1, " + upstream + "---\n{kind: Upstream, name: u2, "
                            + upstream),
                    "upstream 'u1' already has the address 127.0.0.1:80; give each upstream its own");
        }

        @Test
        public void rejectsModelOfAnotherService() {
            assertEquals(
                    onlyMessage(requestClass("care-llm")),
                    "'other-1' is a model of service 'other-llm', not of 'care-llm'; name a model of 'care-llm'");
        }

        @Test
        public void rejectsModelForPlainService() {
            assertEquals(
                    onlyMessage(requestClass("studio-app")),
                    "'studio-app' is a plain service, which has no models; remove the key");
        }

        @Test
        public void rejectsSecrets() {
            String key = "{kind: Key, name: k, workspace: w, saltHex: \"" + "00".repeat(8) + "\", ";
            List<ConfigurationError> named = errorsOf(key + "hashHex: \"" + "00".repeat(32) + "\", secret: demo}");
            assertTrue(named.get(0).message().contains("config hash-key"), named.toString());
            List<ConfigurationError> inPlaceOfHash = errorsOf(key + "hashHex: k.demo}");
            assertEquals(inPlaceOfHash.get(0).key(), "/hashHex");
        }

        @Test
        public void describesMissingKeys() {
            List<ConfigurationError> errors = errorsOf("{kind: Model, name: m, service: care-llm}");
            assertEquals(errors.get(0).message(), "required key is missing; expected: Its version");
        }
    }

    public static final class Page {

        @Test
        public void documentationMatchesSchema() throws IOException {
            assertEquals(Files.readString(Path.of("..", "docs", "CONFIGURATION.md")), SchemaPage.write());
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
