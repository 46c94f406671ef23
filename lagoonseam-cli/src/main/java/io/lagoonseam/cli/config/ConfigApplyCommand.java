package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.entry.configuration.ApplyResult;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.Manifest;
import io.lagoonseam.entry.configuration.SourceFile;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Validates a file set and makes it current as a whole or not at all. */
public final class ConfigApplyCommand implements Command {

    private static final long DEFAULT_WAIT_SECONDS = 10;
    private static final long NO_BASE = -1;

    @Override
    public String name() {
        return "config apply";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Validate a file set and make it current as a whole or not at all";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(PlatformSession.option())
                .addOption(CommandOptions.required("author", "NAME", "The author of the change"))
                .addOption(CommandOptions.required("reason", "TEXT", "Why"))
                .addOption(CommandOptions.of(
                        "base", "N", "The generation that the files were compared with; refused if another is current"))
                .addOption(CommandOptions.of(
                        "wait", "SECONDS", "The longest wait until the change is in force everywhere (default 10)"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        long waitSeconds = CommandOptions.number(line, "wait", DEFAULT_WAIT_SECONDS);
        long base = CommandOptions.number(line, "base", NO_BASE);
        Optional<CheckedFolder> folder =
                CheckedFolder.read(Path.of(CommandOptions.singleArgument(line, arguments())), err);
        if (folder.isEmpty()) {
            return ExitCode.FAILURE;
        }
        try (PlatformSession session = new PlatformSession(line)) {
            ApplyResult result =
                    session.await(apply(session.configurations(), folder.get().files(), line, base));
            if (result instanceof ApplyResult.Applied applied) {
                out.println("generation " + applied.generation() + " is current");
                new InForceWait(session, out).await(applied.generation(), waitSeconds);
                return ExitCode.SUCCESS;
            }
            reportFailure(result, err);
            return ExitCode.FAILURE;
        }
    }

    private static CompletionStage<ApplyResult> apply(
            ConfigurationStore configurations, List<SourceFile> files, CommandLine line, long base) {
        String author = line.getOptionValue("author");
        String reason = line.getOptionValue("reason");
        long nowMillis = System.currentTimeMillis();
        return base == NO_BASE
                ? configurations.apply(files, author, reason, nowMillis)
                : configurations.applyOn(files, author, reason, nowMillis, base);
    }

    private static void reportFailure(ApplyResult result, PrintStream err) {
        if (result instanceof ApplyResult.Conflicted conflicted) {
            Manifest winner = conflicted.winner();
            err.println("not applied: generation " + winner.generation() + " by " + winner.author() + " went first: "
                    + winner.reason());
            conflicted.clashes().forEach(clash -> err.println("  both touch " + clash));
        } else if (result instanceof ApplyResult.Failed failed && failed.mayBeApplied()) {
            err.println("not known whether it was applied; see 'config history': " + failed.reason());
        } else if (result instanceof ApplyResult.Failed failed) {
            err.println("not applied: " + failed.reason());
        }
    }
}
