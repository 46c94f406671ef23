package io.lagoonseam.cli;

import io.lagoonseam.bench.deployment.NodeDemo;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs nodes, stand-ins of the users' platform and traffic in one process. */
final class NodeDemoCommand implements Command {

    private static final long DEFAULT_SECONDS = 5;

    @Override
    public String name() {
        return "demo node";
    }

    @Override
    public String summary() {
        return "Run three nodes over stand-ins of the platform in one process, send traffic and print a table";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.of(
                        "seconds", "N", "The duration of the traffic in seconds (default " + DEFAULT_SECONDS + ")"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        long seconds = CommandOptions.number(line, "seconds", DEFAULT_SECONDS);
        boolean passed = new NodeDemo((int) seconds, out, event -> {}).run();
        return passed ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
