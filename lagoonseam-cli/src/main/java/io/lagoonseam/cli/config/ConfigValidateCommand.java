package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.core.configuration.FileSet;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Validates a file set without contacting the platform. */
public final class ConfigValidateCommand implements Command {

    @Override
    public String name() {
        return "config validate";
    }

    @Override
    public String arguments() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Validate a file set and print every error with file, line and key";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        Optional<CheckedFolder> folder =
                CheckedFolder.read(Path.of(CommandOptions.singleArgument(line, arguments())), err);
        if (folder.isEmpty()) {
            return ExitCode.FAILURE;
        }
        FileSet fileSet = folder.get().fileSet();
        out.printf(
                "valid: %d workspaces, %d request classes, %d services, %d upstreams%n",
                fileSet.workspaces().size(),
                fileSet.classes().size(),
                fileSet.services().size(),
                fileSet.upstreams().size());
        return ExitCode.SUCCESS;
    }
}
