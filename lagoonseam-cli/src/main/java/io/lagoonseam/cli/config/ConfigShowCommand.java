package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.cli.UsageException;
import io.lagoonseam.entry.configuration.ConfigurationHistory;
import io.lagoonseam.entry.configuration.ConfigurationStore.VersionedManifest;
import io.lagoonseam.entry.configuration.Manifest;
import io.lagoonseam.entry.configuration.SourceFile;
import java.io.PrintStream;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the current file set, or the one of a given time or generation. */
public final class ConfigShowCommand implements Command {

    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String summary() {
        return "Print the current file set, or an earlier one, with its generation, author and reason";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(PlatformSession.option())
                .addOption(CommandOptions.of("at", "TIME", "An ISO 8601 time such as 2030-01-31T12:00:00Z"))
                .addOption(CommandOptions.of("generation", "N", "The number of a generation"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        try (PlatformSession session = new PlatformSession(line)) {
            Optional<VersionedManifest> current =
                    session.await(session.configurations().current());
            if (current.isEmpty()) {
                err.println("no file set was ever applied");
                return ExitCode.FAILURE;
            }
            Optional<Manifest> selected =
                    selectManifest(line, session, current.get().manifest());
            if (selected.isEmpty()) {
                err.println("no file set was in force then");
                return ExitCode.FAILURE;
            }
            ChangePrinter.printHeader(selected.get(), out);
            for (SourceFile file : session.await(session.configurations().files(selected.get()))) {
                out.print(file.text());
            }
            return ExitCode.SUCCESS;
        }
    }

    private static Optional<Manifest> selectManifest(CommandLine line, PlatformSession session, Manifest latest)
            throws UsageException, TimeoutException {
        ConfigurationHistory history = new ConfigurationHistory(session.configurations());
        if (line.hasOption("at")) {
            return session.await(history.currentAt(latest, parseTimeMillis(line.getOptionValue("at"))));
        }
        long generation = CommandOptions.number(line, "generation", latest.generation());
        return session.await(history.find(latest, generation));
    }

    private static long parseTimeMillis(String text) throws UsageException {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            UsageException failure = new UsageException(
                    "--at must be an ISO 8601 time such as 2030-01-31T12:00:00Z, but was '" + text + "'");
            failure.initCause(e);
            throw failure;
        }
    }
}
