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

/** Makes a file set current, whole or not at all. */
public final class ConfigApplyCommand implements Command {

    private static final long DEFAULT_WAIT_SECONDS = 10;
    private static final long ANY_BASE = -1;

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
        return "Check a file set and make it current, whole or not at all";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(PlatformSession.option())
                .addOption(CommandOptions.required("author", "NAME", "Who applies it"))
                .addOption(CommandOptions.required("reason", "TEXT", "Why"))
                .addOption(CommandOptions.of(
                        "base", "N", "The generation it was compared with; refused if another is current"))
                .addOption(CommandOptions.of(
                        "wait", "SECONDS", "The longest wait until it is in force everywhere (default 10)"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        long waitSeconds = CommandOptions.number(line, "wait", DEFAULT_WAIT_SECONDS);
        long base = CommandOptions.number(line, "base", ANY_BASE);
        Optional<CheckedFolder> folder =
                CheckedFolder.read(Path.of(CommandOptions.onlyArgument(line, arguments())), err);
        if (folder.isEmpty()) {
            return ExitCode.FAILED;
        }
        try (PlatformSession session = new PlatformSession(line)) {
            ApplyResult result =
                    session.await(apply(session.configurations(), folder.get().files(), line, base));
            if (result instanceof ApplyResult.Applied applied) {
                out.println("generation " + applied.generation() + " is current");
                new InForceWait(session, out).await(applied.generation(), waitSeconds);
                return ExitCode.DONE;
            }
            reportFailure(result, err);
            return ExitCode.FAILED;
        }
    }

    private static CompletionStage<ApplyResult> apply(
            ConfigurationStore configurations, List<SourceFile> files, CommandLine line, long base) {
        String author = line.getOptionValue("author");
        String reason = line.getOptionValue("reason");
        long nowMillis = System.currentTimeMillis();
        return base == ANY_BASE
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
