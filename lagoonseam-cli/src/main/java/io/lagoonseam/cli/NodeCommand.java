package io.lagoonseam.cli;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.entry.forward.CurrentSettings;
import io.lagoonseam.entry.forward.ForwardEnvironment;
import io.lagoonseam.entry.forward.ForwardNode;
import io.lagoonseam.entry.forward.NodeSettings;
import io.lagoonseam.entry.forward.SettingsReloader;
import io.lagoonseam.entry.log.JsonLineLog;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.platform.HeaderProtocol;
import io.lagoonseam.platform.HttpCollectionStore;
import io.lagoonseam.platform.HttpUsagePlatform;
import io.lagoonseam.platform.JsonRecordDecoder;
import io.lagoonseam.platform.NodeSettingsReader;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import sun.misc.Signal;

/** Runs a node on the users' platform until the process receives SIGTERM. */
final class NodeCommand implements Command {

    private static final long START_TIMEOUT_SECONDS = 20;

    /** Interval of the settings file poll, in milliseconds; the file may change without a SIGHUP. */
    private static final long SETTINGS_POLL_MILLIS = 5_000;

    @Override
    public String name() {
        return "node";
    }

    @Override
    public String summary() {
        return "Run a node on the platform that " + NodeSettingsReader.FILE_VARIABLE + " describes, until SIGTERM";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.of("metrics-port", "PORT", "The port that serves metrics (default: none)"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        String file = System.getenv(NodeSettingsReader.FILE_VARIABLE);
        if (file == null) {
            err.println(NodeSettingsReader.FILE_VARIABLE + " is not set; it must name the settings file of the node");
            return ExitCode.USAGE_ERROR;
        }
        List<String> errors = new ArrayList<>();
        Optional<NodeSettings> settings = NodeSettingsReader.read(Path.of(file), errors);
        if (settings.isEmpty()) {
            errors.forEach(err::println);
            return ExitCode.USAGE_ERROR;
        }
        String port = line.getOptionValue("metrics-port");
        return serve(
                settings.get(),
                errorsFound -> NodeSettingsReader.read(Path.of(file), errorsFound),
                port == null
                        ? Optional.empty()
                        : Optional.of(new ListenAddress(settings.get().callers().host(), Integer.parseInt(port))));
    }

    /**
     * Ends the process after an error of the virtual machine, such as a lack of memory, on whichever task it was met.
     */
    private static void onUncaught(Throwable cause, JsonLineLog events) {
        if (!(cause instanceof VirtualMachineError)) {
            StringWriter trace = new StringWriter();
            cause.printStackTrace(new PrintWriter(trace));
            events.record(EventCode.TASK_FAILED, trace.toString());
            return;
        }
        try {
            events.record(EventCode.NODE_FAILED, String.valueOf(cause));
            events.close();
        } finally {
            Runtime.getRuntime().halt(ExitCode.FAILURE);
        }
    }

    private static int serve(
            NodeSettings settings,
            Function<List<String>, Optional<NodeSettings>> reader,
            Optional<ListenAddress> metrics)
            throws InterruptedException, TimeoutException {
        Vertx vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        JsonLineLog events = new JsonLineLog(settings.nodeName(), new SystemTimeSource());
        vertx.exceptionHandler(cause -> onUncaught(cause, events));
        CurrentSettings current = new CurrentSettings(settings);
        ForwardEnvironment environment = new ForwardEnvironment(
                vertx,
                current,
                new HeaderProtocol(),
                new SystemTimeSource(),
                new Random(),
                events,
                new MetricRegistry());
        CountDownLatch stopped = new CountDownLatch(1);
        ForwardNode node = new ForwardNode(
                environment,
                new HttpCollectionStore(vertx, () -> current.get().store(), events),
                new JsonRecordDecoder(),
                metrics,
                settings.usage().map(usage -> new HttpUsagePlatform(vertx, usage.platform())));
        Signal.handle(
                new Signal("TERM"),
                signal -> vertx.runOnContext(nothing -> node.stop().onComplete(ended -> stopped.countDown())));
        SettingsReloader reloader = new SettingsReloader(reader, current, events, node::onSettingsChanged);
        Signal.handle(new Signal("HUP"), signal -> vertx.runOnContext(nothing -> reloader.reload(true)));
        vertx.setPeriodic(SETTINGS_POLL_MILLIS, timer -> reloader.reload(false));
        try {
            vertx.deployVerticle(context -> node.start()).await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (RuntimeException | TimeoutException e) {
            events.record(EventCode.NODE_START_FAILED, String.valueOf(e.getMessage()));
            throw e;
        }
        stopped.await();
        events.close();
        Runtime.getRuntime().halt(ExitCode.SUCCESS);
        return ExitCode.SUCCESS;
    }
}
