package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.retry.JitteredBackoff;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/** Watches the manifest on the platform and puts each new generation in force. */
public final class ConfigurationFollower {

    private static final long WATCH_TIMEOUT_MILLIS = 20_000;
    private static final long BACKOFF_BASE_MILLIS = 100;
    private static final long BACKOFF_CAP_MILLIS = 3_000;

    private final Vertx vertx;
    private final ObjectStore store;
    private final ConfigurationStore configurations;
    private final ActiveConfiguration active;
    private final EventSink events;
    private final Consumer<FileSet> listener;
    private final JitteredBackoff backoff;
    private final FileSetReader reader = new FileSetReader();
    private volatile boolean stopped;
    private int failures;
    private long revision;

    /**
     * Creates a follower.
     *
     * @param vertx the Vert.x instance
     * @param store the platform
     * @param active where generations are put in force
     * @param events the sink of numbered events
     * @param listener hears each file set that is put in force
     * @param seed the seed of the backoff's jitter
     */
    public ConfigurationFollower(
            Vertx vertx,
            ObjectStore store,
            ActiveConfiguration active,
            EventSink events,
            Consumer<FileSet> listener,
            long seed) {
        this.vertx = vertx;
        this.store = store;
        this.configurations = new ConfigurationStore(store);
        this.active = active;
        this.events = events;
        this.listener = listener;
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, new Random(seed));
    }

    /** Starts to follow. */
    public void start() {
        pull();
    }

    /** Stops to follow. */
    public void stop() {
        stopped = true;
    }

    private void pull() {
        if (stopped) {
            return;
        }
        configurations.current().whenComplete((current, failure) -> {
            if (failure != null) {
                platformFailed(failure.getMessage());
            } else if (current.isEmpty() || isInForce(current.get().manifest())) {
                watch();
            } else {
                load(current.get().manifest());
            }
        });
    }

    private boolean isInForce(Manifest manifest) {
        return active.current()
                .map(generation -> generation.number() >= manifest.generation())
                .orElse(false);
    }

    private void load(Manifest manifest) {
        configurations.files(manifest).whenComplete((files, failure) -> {
            if (failure != null) {
                platformFailed(failure.getMessage());
            } else {
                putInForce(manifest, files);
                watch();
            }
        });
    }

    private void putInForce(Manifest manifest, List<SourceFile> files) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        Optional<FileSet> fileSet = reader.read(files, reporter);
        if (fileSet.isEmpty()) {
            events.record(EventCode.CONFIGURATION_UNREADABLE, manifest.generation() + ": " + reporter.errors());
            return;
        }
        Generation generation = new Generation(
                manifest.generation(), manifest.author(), manifest.reason(), manifest.appliedAtMillis(), fileSet.get());
        if (active.offer(generation)) {
            events.record(
                    EventCode.CONFIGURATION_IN_FORCE,
                    "generation " + manifest.generation() + " by " + manifest.author() + ": " + manifest.reason());
            listener.accept(fileSet.get());
        }
    }

    private void watch() {
        failures = 0;
        store.watch(ConfigurationStore.MANIFEST, revision, WATCH_TIMEOUT_MILLIS).thenAccept(result -> {
            if (result instanceof WatchResult.Changed changed) {
                revision = changed.revision();
                pull();
            } else {
                platformFailed(result.toString());
            }
        });
    }

    private void platformFailed(String reason) {
        if (stopped) {
            return;
        }
        if (failures == 0) {
            events.record(EventCode.PLATFORM_UNREACHABLE, reason);
        }
        long delayMillis = Math.max(1, backoff.delayMillis(failures));
        failures++;
        vertx.setTimer(delayMillis, timer -> pull());
    }
}
