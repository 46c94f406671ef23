package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.entry.configuration.Change;
import io.lagoonseam.entry.configuration.ConfigurationHistory;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the accepted changes, latest first. */
public final class ConfigHistoryCommand implements Command {

    private static final int DEFAULT_LIMIT = 20;

    @Override
    public String name() {
        return "config history";
    }

    @Override
    public String summary() {
        return "Print the accepted changes, latest first, with author, time, reason and difference";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(PlatformSession.option())
                .addOption(CommandOptions.of("limit", "N", "The maximum number of changes to print (default 20)"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        int limit = (int) CommandOptions.number(line, "limit", DEFAULT_LIMIT);
        try (PlatformSession session = new PlatformSession(line)) {
            List<Change> changes = session.await(new ConfigurationHistory(session.configurations()).latest(limit));
            changes.forEach(change -> ChangePrinter.print(change, out));
            return ExitCode.SUCCESS;
        }
    }
}
