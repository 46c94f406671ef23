package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.entry.configuration.ApplyResult;
import io.lagoonseam.entry.configuration.Manifest;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Makes a file set current, whole or not at all. */
public final class ConfigApplyCommand implements Command {

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
                .addOption(CommandOptions.required("reason", "TEXT", "Why"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        Optional<CheckedFolder> folder =
                CheckedFolder.read(Path.of(CommandOptions.onlyArgument(line, arguments())), err);
        if (folder.isEmpty()) {
            return ExitCode.FAILED;
        }
        try (PlatformSession session = new PlatformSession(line)) {
            ApplyResult result = session.await(session.configurations()
                    .apply(
                            folder.get().files(),
                            line.getOptionValue("author"),
                            line.getOptionValue("reason"),
                            System.currentTimeMillis()));
            return report(result, out, err);
        }
    }

    private static int report(ApplyResult result, PrintStream out, PrintStream err) {
        if (result instanceof ApplyResult.Applied applied) {
            out.println("generation " + applied.generation() + " is current");
            return ExitCode.DONE;
        }
        if (result instanceof ApplyResult.Conflicted conflicted) {
            Manifest winner = conflicted.winner();
            err.println("not applied: generation " + winner.generation() + " by " + winner.author() + " went first: "
                    + winner.reason());
            conflicted.clashes().forEach(clash -> err.println("  both touch " + clash));
            return ExitCode.FAILED;
        }
        err.println("not confirmed: " + result);
        return ExitCode.FAILED;
    }
}
