package io.lagoonseam.bench.demo;

import io.lagoonseam.bench.fleet.ActionRunCounts;
import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.traffic.TrafficGenerator;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.configuration.FileSetReader;
import io.lagoonseam.entry.configuration.SourceFile;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Starts stand-ins and three entry nodes with an example file set, sends the mixed traffic of the example and prints a
 * table.
 */
public final class Demo {

    private static final int NODES = 3;
    private static final long TIMEOUT_SECONDS = 50;

    private final Path example;
    private final long seed;
    private final EventSink events;
    private final PrintStream out;

    /**
     * Creates a demo.
     *
     * @param example the folder of the example file set, with its traffic in {@code traffic/profile.yaml}
     * @param seed the seed of the traffic
     * @param events the sink of numbered events
     * @param out the stream to which the table is printed
     */
    public Demo(Path example, long seed, EventSink events, PrintStream out) {
        this.example = example;
        this.seed = seed;
        this.events = events;
        this.out = out;
    }

    /**
     * Runs the demo.
     *
     * @return whether no answer was wrong, no non-idempotent action ran twice and no invariant was violated
     * @throws IOException if the example cannot be read
     * @throws TimeoutException if requests are still open after 50 seconds
     */
    public boolean run() throws IOException, TimeoutException {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        List<SourceFile> files = FileSetReader.readFolder(example, reporter);
        TrafficProfile profile = TrafficProfile.read(example.resolve("traffic").resolve("profile.yaml"));
        try (LocalFleet fleet = LocalFleet.start(files, NODES, seed, events)) {
            out.printf(
                    "%d entry nodes, %d engines, %d plain services; traffic for %d ms, seed %d%n%n",
                    fleet.nodes().size(),
                    fleet.engines().size(),
                    fleet.plainServices().size(),
                    profile.durationMillis(),
                    seed);
            TrafficReport report = TrafficGenerator.run(fleet.vertx(), targets(fleet), fleet.fileSet(), profile, seed)
                    .await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return print(fleet, report);
        }
    }

    private static List<String> targets(LocalFleet fleet) {
        return fleet.nodes().stream()
                .map(node -> "http://127.0.0.1:" + node.callerPort())
                .toList();
    }

    private boolean print(LocalFleet fleet, TrafficReport report) {
        long actionsRunTwice = new ActionRunCounts(fleet).countRunTwice();
        long violations = fleet.nodes().stream()
                .map(EntryNode::invariants)
                .mapToLong(monitor -> monitor.totalViolations())
                .sum();
        out.print(report.table());
        out.printf(
                "%nnon-idempotent actions run twice: %d%nwrong answers: %d%ninvariant violations: %d%n",
                actionsRunTwice, report.wrongAnswers(), violations);
        return actionsRunTwice == 0 && report.wrongAnswers() == 0 && violations == 0;
    }
}
