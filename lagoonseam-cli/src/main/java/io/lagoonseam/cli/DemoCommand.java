package io.lagoonseam.cli;

import io.lagoonseam.bench.demo.Demo;
import io.lagoonseam.core.audit.EventLevel;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.entry.log.TinylogEventSink;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs stand-ins, entry nodes and traffic of an example deployment in one process. */
final class DemoCommand implements Command {

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public String summary() {
        return "Run stand-ins and three entry nodes in one process, send traffic and print a table";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.of("deployment", "NAME", "lashkeep (default) or jadran"))
                .addOption(CommandOptions.seed());
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        long seed = CommandOptions.seed(line);
        String deployment = line.getOptionValue("deployment", "lashkeep");
        Path example = ProgramHome.path().resolve("examples").resolve(deployment);
        if (!Files.isDirectory(example)) {
            throw new UsageException("--deployment: there is no example '" + deployment + "'");
        }
        TinylogEventSink log = new TinylogEventSink("demo");
        EventSink errorsOnly = (code, detail) -> {
            if (code.level() == EventLevel.ERROR) {
                log.record(code, detail);
            }
        };
        boolean passed = new Demo(example, seed, errorsOnly, out).run();
        return passed ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
