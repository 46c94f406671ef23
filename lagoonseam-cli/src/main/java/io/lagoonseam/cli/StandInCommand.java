package io.lagoonseam.cli;

import io.lagoonseam.standin.AbstractStandIn;
import io.lagoonseam.standin.engine.EngineOptions;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.lagoonseam.standin.plain.PlainServiceStandIn;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.lagoonseam.standin.store.StoreStandIn;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Runs a stand-in for an external system in this process. */
final class StandInCommand implements Command {

    private static final long START_TIMEOUT_SECONDS = 30;

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String arguments() {
        return "engine|plain|platform|store|worker";
    }

    @Override
    public String summary() {
        return "Run a stand-in for an external system until SIGTERM; POST /faults sets its faults";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.of("host", "IP", "The address to listen on (default 127.0.0.1)"))
                .addOption(CommandOptions.of("port", "PORT", "The port to listen on (default any free one)"))
                .addOption(CommandOptions.of("models", "LIST", "An engine's models, NAME@VERSION,… (default care-1)"))
                .addOption(CommandOptions.of("step-millis", "N", "An engine's time for one token in ms (default 10)"))
                .addOption(CommandOptions.of(
                        "max-batch", "N", "The most streams that an engine runs at once (default 16)"))
                .addOption(CommandOptions.of("id", "ID", "A worker's id (default worker-1)"))
                .addOption(null, "model", false, "The worker serves a model (default: a plain service)")
                .addOption(null, "ignores-fencing", false, "The engine accepts orders with outdated fencing tokens")
                .addOption(CommandOptions.seed());
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        AbstractStandIn standIn = create(CommandOptions.singleArgument(line, arguments()), line);
        Vertx vertx = Vertx.vertx();
        vertx.deployVerticle(standIn).await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        out.println("listening on " + standIn.url());
        new CountDownLatch(1).await();
        return ExitCode.SUCCESS;
    }

    private static AbstractStandIn create(String kind, CommandLine line) throws UsageException {
        String host = line.getOptionValue("host", "127.0.0.1");
        int port = (int) CommandOptions.number(line, "port", 0);
        long seed = CommandOptions.seed(line);
        return switch (kind) {
            case "engine" ->
                new ModelEngineStandIn(EngineOptions.builder()
                        .listen(host, port)
                        .seed(seed)
                        .models(List.of(line.getOptionValue("models", "care-1").split(",")))
                        .stepMillis(CommandOptions.number(line, "step-millis", 10))
                        .maxBatch((int) CommandOptions.number(line, "max-batch", 16))
                        .checksFencing(!line.hasOption("ignores-fencing"))
                        .build());
            case "plain" -> new PlainServiceStandIn(host, port, seed);
            case "platform" -> new PlatformStandIn(host, port, seed);
            case "store" -> new StoreStandIn(host, port);
            case "worker" -> new WorkerStandIn(host, port, workerOptions(line), CommandOptions.seed(line));
            default -> throw new UsageException("'" + kind + "' is not a kind of stand-in");
        };
    }

    private static WorkerOptions workerOptions(CommandLine line) {
        String id = line.getOptionValue("id", "worker-1");
        return line.hasOption("model") ? WorkerOptions.engine(id) : WorkerOptions.plain(id);
    }
}
