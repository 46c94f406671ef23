package io.lagoonseam.cli;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.log.TinylogEventSink;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.entry.settings.EntrySettingsLoader;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.tinylog.Logger;

/** Runs an entry node until the process receives SIGTERM. */
final class EntryCommand implements Command {

    private static final long START_TIMEOUT_SECONDS = 30;
    private static final long STOP_MARGIN_MILLIS = 5_000;

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String summary() {
        return "Run an entry node until SIGTERM, which stops it gracefully";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.required("settings", "FILE", "The YAML file with the settings of the node"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) throws Exception {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        Optional<EntrySettings> settings =
                new EntrySettingsLoader().load(Path.of(line.getOptionValue("settings")), reporter);
        if (settings.isEmpty()) {
            reporter.errors().forEach(err::println);
            return ExitCode.FAILURE;
        }
        return serve(settings.get(), out);
    }

    private static int serve(EntrySettings settings, PrintStream out) throws InterruptedException, TimeoutException {
        Vertx vertx = Vertx.vertx();
        TinylogEventSink events = new TinylogEventSink(settings.nodeId());
        EntryNode node = new EntryNode(vertx, settings, events);
        try {
            node.start().await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (RuntimeException | TimeoutException e) {
            events.record(EventCode.NODE_START_FAILED, String.valueOf(e.getMessage()));
            vertx.close();
            throw e;
        }
        out.println("callers on " + node.callerPort() + ", operators on " + node.operatorPort());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, settings, stopped), "stop"));
        stopped.await();
        return ExitCode.SUCCESS;
    }

    private static void stop(EntryNode node, EntrySettings settings, CountDownLatch stopped) {
        long timeoutMillis = settings.leaveNoticeMillis() + settings.stopDeadlineMillis() + STOP_MARGIN_MILLIS;
        try {
            node.stop().await(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            Logger.error(
                    e,
                    "graceful shutdown did not finish within leaveNoticeMillis + stopDeadlineMillis + 5 s; halting the process");
        } finally {
            stopped.countDown();
            Runtime.getRuntime().halt(ExitCode.SUCCESS);
        }
    }
}
