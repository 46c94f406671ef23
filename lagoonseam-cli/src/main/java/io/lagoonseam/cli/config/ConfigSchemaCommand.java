package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.entry.configuration.FileSetReader;
import io.lagoonseam.entry.configuration.SchemaPage;
import io.lagoonseam.entry.yaml.SchemaChecker;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Prints the JSON schema of file sets or the documentation page generated from it. */
public final class ConfigSchemaCommand implements Command {

    @Override
    public String name() {
        return "config schema";
    }

    @Override
    public String summary() {
        return "Print the JSON schema of file sets, or the page generated from it";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("page")
                        .desc("Print docs/CONFIGURATION.md instead")
                        .get());
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) {
        if (line.hasOption("page")) {
            out.print(SchemaPage.write());
        } else {
            out.println(SchemaChecker.readSchema(FileSetReader.SCHEMA).toPrettyString());
        }
        return ExitCode.SUCCESS;
    }
}
