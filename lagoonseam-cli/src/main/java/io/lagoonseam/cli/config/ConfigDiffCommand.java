package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.entry.configuration.ConfigurationStore.VersionedManifest;
import io.lagoonseam.entry.configuration.DocumentDifference;
import io.lagoonseam.entry.configuration.FileSetDifference;
import io.lagoonseam.entry.configuration.SourceFile;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Validates a file set and prints its differences from the current file set. */
public final class ConfigDiffCommand implements Command {

    @Override
    public String name() {
        return "config diff";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Validate a file set and print what applying it would change, document by document";
    }

    @Override
    public Options options() {
        return new Options().addOption(PlatformSession.option());
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        Optional<CheckedFolder> folder =
                CheckedFolder.read(Path.of(CommandOptions.singleArgument(line, arguments())), err);
        if (folder.isEmpty()) {
            return ExitCode.FAILURE;
        }
        try (PlatformSession session = new PlatformSession(line)) {
            Optional<VersionedManifest> current =
                    session.await(session.configurations().current());
            List<SourceFile> parts = current.isEmpty()
                    ? List.of()
                    : session.await(session.configurations().files(current.get().manifest()));
            long generation =
                    current.map(value -> value.manifest().generation()).orElse(0L);
            List<DocumentDifference> differences =
                    FileSetDifference.ofFiles(parts, folder.get().files());
            out.printf(
                    "# compared with generation %d: %d documents differ; apply with --base %d%n",
                    generation, differences.size(), generation);
            differences.forEach(out::println);
            return ExitCode.SUCCESS;
        }
    }
}
