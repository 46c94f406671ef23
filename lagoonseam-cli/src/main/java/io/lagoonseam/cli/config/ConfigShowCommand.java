package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.Manifest;
import io.lagoonseam.entry.configuration.SourceFile;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the current file set. */
public final class ConfigShowCommand implements Command {

    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String summary() {
        return "Print the current file set with its generation, author and reason";
    }

    @Override
    public Options options() {
        return new Options().addOption(PlatformSession.option());
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        try (PlatformSession session = new PlatformSession(line)) {
            Optional<ConfigurationStore.Current> current =
                    session.await(session.configurations().current());
            if (current.isEmpty()) {
                err.println("no file set was ever applied");
                return ExitCode.FAILED;
            }
            Manifest manifest = current.get().manifest();
            out.printf(
                    "# generation %d by %s at %s: %s%n",
                    manifest.generation(),
                    manifest.author(),
                    Instant.ofEpochMilli(manifest.appliedAtMillis()),
                    manifest.reason());
            for (SourceFile file : session.await(session.configurations().files(manifest))) {
                out.println("# file " + file.name());
                out.print(file.text());
            }
            return ExitCode.DONE;
        }
    }
}
