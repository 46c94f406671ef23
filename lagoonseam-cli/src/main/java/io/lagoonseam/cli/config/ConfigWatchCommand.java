package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.entry.configuration.Change;
import io.lagoonseam.entry.configuration.ConfigurationHistory;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import java.io.PrintStream;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints each accepted change as it becomes current. */
public final class ConfigWatchCommand implements Command {

    private static final long WATCH_TIMEOUT_MILLIS = 10_000;
    private static final long RETRY_BACKOFF_MILLIS = 500;
    private static final int MAX_CHANGES_PER_UPDATE = 100;

    @Override
    public String name() {
        return "config watch";
    }

    @Override
    public String summary() {
        return "Print each change as it becomes current, until it is stopped";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(PlatformSession.option())
                .addOption(CommandOptions.of("count", "N", "Exit after N changes"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        long remaining = CommandOptions.number(line, "count", Long.MAX_VALUE);
        try (PlatformSession session = new PlatformSession(line)) {
            ObjectStore store = session.store();
            long printedGeneration = latestGeneration(session);
            long revision = 0;
            while (remaining > 0) {
                WatchResult result =
                        session.await(store.watch(ConfigurationStore.MANIFEST, revision, WATCH_TIMEOUT_MILLIS));
                if (result instanceof WatchResult.Changed changed) {
                    revision = changed.revision();
                    List<Change> newChanges = changesAfter(session, printedGeneration);
                    for (Change change : newChanges) {
                        ChangePrinter.print(change, out);
                        printedGeneration = change.manifest().generation();
                        remaining--;
                    }
                } else {
                    err.println("cannot watch the platform for changes; retrying: " + result);
                    TimeUnit.MILLISECONDS.sleep(RETRY_BACKOFF_MILLIS);
                }
            }
            return ExitCode.SUCCESS;
        }
    }

    private static long latestGeneration(PlatformSession session) throws TimeoutException {
        return session.await(session.configurations().current())
                .map(current -> current.manifest().generation())
                .orElse(0L);
    }

    private static List<Change> changesAfter(PlatformSession session, long printedGeneration) throws TimeoutException {
        long newCount = Math.min(MAX_CHANGES_PER_UPDATE, latestGeneration(session) - printedGeneration);
        if (newCount <= 0) {
            return List.of();
        }
        List<Change> changes = session.await(new ConfigurationHistory(session.configurations()).latest((int) newCount));
        Collections.reverse(changes);
        return changes;
    }
}
