package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.cli.UsageException;
import io.lagoonseam.entry.configuration.ConfigurationHistory;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.Manifest;
import io.lagoonseam.entry.configuration.SourceFile;
import java.io.PrintStream;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the file set that is current, or that was at a moment. */
public final class ConfigShowCommand implements Command {

    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String summary() {
        return "Print the file set that is current, or was at a moment, with its generation, author and reason";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(PlatformSession.option())
                .addOption(CommandOptions.of("at", "TIME", "A moment such as 2030-01-31T12:00:00Z"))
                .addOption(CommandOptions.of("generation", "N", "The number of a generation"));
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
            Optional<Manifest> chosen = choose(line, session, current.get().manifest());
            if (chosen.isEmpty()) {
                err.println("no file set was in force then");
                return ExitCode.FAILED;
            }
            ChangePrinter.printHeader(chosen.get(), out);
            for (SourceFile file : session.await(session.configurations().files(chosen.get()))) {
                out.print(file.text());
            }
            return ExitCode.DONE;
        }
    }

    private static Optional<Manifest> choose(CommandLine line, PlatformSession session, Manifest head)
            throws UsageException, TimeoutException {
        ConfigurationHistory history = new ConfigurationHistory(session.configurations());
        if (line.hasOption("at")) {
            return session.await(history.at(head, moment(line.getOptionValue("at"))));
        }
        long generation = CommandOptions.number(line, "generation", head.generation());
        return session.await(history.find(head, generation));
    }

    private static long moment(String text) throws UsageException {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            UsageException failure =
                    new UsageException("--at needs a moment such as 2030-01-31T12:00:00Z, not '" + text + "'");
            failure.initCause(e);
            throw failure;
        }
    }
}
