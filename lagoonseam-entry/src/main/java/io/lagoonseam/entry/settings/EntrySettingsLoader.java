package io.lagoonseam.entry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.tls.TlsFiles;
import io.lagoonseam.entry.yaml.LocatedDocument;
import io.lagoonseam.entry.yaml.LocatedYamlReader;
import io.lagoonseam.entry.yaml.SchemaChecker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Loads the settings of an entry node from YAML and reports all errors together. */
public final class EntrySettingsLoader {

    private static final String SCHEMA = "/io/lagoonseam/entry/entry-settings.schema.json";

    private final SchemaChecker checker = SchemaChecker.of(SchemaChecker.readSchema(SCHEMA));

    /**
     * Loads settings from a file.
     *
     * @param file the YAML file
     * @param reporter receives the errors
     * @return the settings, or empty if there was any error
     */
    public Optional<EntrySettings> load(Path file, ConfigurationErrorReporter reporter) {
        try {
            return parse(file.toString(), Files.readString(file), reporter);
        } catch (IOException e) {
            reporter.report(new ConfigurationError(file.toString(), 0, "-", "cannot be read: " + e.getMessage()));
            return Optional.empty();
        }
    }

    /**
     * Loads settings from a text.
     *
     * @param name the file name for error reports
     * @param text the YAML text
     * @param reporter receives the errors
     * @return the settings, or empty if there was any error
     */
    public Optional<EntrySettings> parse(String name, String text, ConfigurationErrorReporter reporter) {
        List<LocatedDocument> documents = new LocatedYamlReader().read(name, text, reporter);
        if (reporter.hasErrors()) {
            return Optional.empty();
        }
        if (documents.size() != 1) {
            reporter.report(new ConfigurationError(name, 0, "-", "expected exactly one YAML document"));
            return Optional.empty();
        }
        LocatedDocument document = documents.get(0);
        return checker.check(document, reporter) ? Optional.of(bind(document.root())) : Optional.empty();
    }

    private static EntrySettings bind(JsonNode root) {
        EntrySettings.Builder builder = EntrySettings.builder(
                root.get("nodeId").asText(),
                root.get("dataCentre").asText(),
                root.get("platformUrl").asText());
        builder.callers(address(root.get("callers")));
        builder.operators(address(root.get("operators")));
        bindPeers(root, builder);
        if (root.has("workerThreads")) {
            builder.workerThreads(root.get("workerThreads").asInt());
        }
        if (root.has("bodyLimitBytes")) {
            builder.bodyLimitBytes(root.get("bodyLimitBytes").asInt());
        }
        if (root.has("leaveNoticeMillis")) {
            builder.leaveNoticeMillis(root.get("leaveNoticeMillis").asLong());
        }
        if (root.has("stopDeadlineMillis")) {
            builder.stopDeadlineMillis(root.get("stopDeadlineMillis").asLong());
        }
        if (root.has("seed")) {
            builder.seed(root.get("seed").asLong());
        }
        return builder.build();
    }

    private static void bindPeers(JsonNode root, EntrySettings.Builder builder) {
        if (root.has("peers")) {
            builder.peers(address(root.get("peers")));
        }
        List<PeerSeed> seeds = new ArrayList<>();
        for (JsonNode seed : root.path("seeds")) {
            seeds.add(new PeerSeed(
                    seed.get("nodeId").asText(),
                    seed.get("host").asText(),
                    seed.get("port").asInt()));
        }
        builder.seeds(seeds);
        if (root.path("tls").has("peers")) {
            builder.peerTls(tls(root.get("tls").get("peers")));
        }
        if (root.path("tls").has("callers")) {
            builder.callerTls(tls(root.get("tls").get("callers")));
        }
    }

    private static TlsFiles tls(JsonNode node) {
        return new TlsFiles(
                node.get("certificateFile").asText(),
                node.get("keyFile").asText(),
                node.path("authorityFile").asText(""));
    }

    private static ListenAddress address(JsonNode node) {
        return new ListenAddress(node.get("host").asText(), node.get("port").asInt());
    }
}
