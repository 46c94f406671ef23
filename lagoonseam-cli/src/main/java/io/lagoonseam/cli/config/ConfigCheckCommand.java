package io.lagoonseam.cli.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.core.forward.ConfigurationCheck;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.platform.JsonRecordDecoder;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Checks the configuration of nodes on the users' platform before an operator sends it. */
public final class ConfigCheckCommand implements Command {

    private static final String IN_FORCE = "in-force";
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public String name() {
        return "config check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Check a configuration of nodes before it is sent: errors, entries that never match, contradictions, differences";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.of(IN_FORCE, "FILE", "The configuration in force, to compare with"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        Path file = Path.of(CommandOptions.singleArgument(line, arguments()));
        Optional<RoutingConfiguration> configuration = read(file, err);
        if (configuration.isEmpty()) {
            return ExitCode.FAILURE;
        }
        List<ConfigurationCheck.Finding> findings = ConfigurationCheck.check(configuration.get());
        findings.forEach(finding -> out.printf("%s %s: %s%n", finding.kind(), finding.entry(), finding.text()));
        if (line.hasOption(IN_FORCE)) {
            Optional<RoutingConfiguration> inForce = read(Path.of(line.getOptionValue(IN_FORCE)), err);
            if (inForce.isEmpty()) {
                return ExitCode.FAILURE;
            }
            List<String> differences = ConfigurationCheck.differences(inForce.get(), configuration.get());
            out.printf(
                    "# compared with version %d: %d differences%n",
                    inForce.get().version(), differences.size());
            differences.forEach(out::println);
        }
        return findings.isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    private static Optional<RoutingConfiguration> read(Path file, PrintStream err) throws IOException {
        JsonNode content;
        try {
            content = JSON.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            err.printf("%s:%d: %s%n", file, e.getLocation().getLineNr(), e.getOriginalMessage());
            return Optional.empty();
        }
        Optional<RoutingConfiguration> decoded =
                new JsonRecordDecoder().configuration(new CollectionObject("main", 1, false, content));
        if (decoded.isEmpty()) {
            err.println(file + ": expected a JSON object with a whole number as its version and a list of routes");
        }
        return decoded;
    }
}
