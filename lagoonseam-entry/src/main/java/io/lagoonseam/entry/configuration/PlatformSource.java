package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.retry.JitteredBackoff;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

/**
 * Takes generations from the platform: once at the start, and by a waiting watch while this node is a relay. All state
 * belongs to the serial executor.
 */
final class PlatformSource {

    private static final long WATCH_TIMEOUT_MILLIS = 1_000;
    private static final long SIGHT_MILLIS = 1_600;
    private static final long BACKOFF_BASE_MILLIS = 100;
    private static final long BACKOFF_CAP_MILLIS = 3_000;

    private final FollowerEnvironment environment;
    private final Executor serial;
    private final ConfigurationStore configurations;
    private final HeldConfiguration held;
    private final Runnable accepted;
    private final JitteredBackoff backoff;
    private volatile boolean acting;
    private boolean looping;
    private boolean stopped;
    private int failures;
    private long revision;
    private long lastAnswerMillis;

    PlatformSource(FollowerEnvironment environment, Executor serial, HeldConfiguration held, Runnable accepted) {
        this.environment = environment;
        this.serial = serial;
        this.configurations = new ConfigurationStore(environment.store());
        this.held = held;
        this.accepted = accepted;
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, new Random(environment.seed()));
    }

    private record Loaded(Manifest manifest, Listing listing, Map<String, String> texts) {}

    void stop() {
        stopped = true;
    }

    boolean acting() {
        return acting;
    }

    /** Takes or gives up the relay's role. */
    void act(boolean value) {
        if (value == acting || stopped) {
            return;
        }
        acting = value;
        EventCode code = value ? EventCode.CONFIGURATION_RELAY_TAKEN : EventCode.CONFIGURATION_RELAY_GIVEN_UP;
        environment.events().record(code, environment.members().self().nodeId());
        if (value) {
            lastAnswerMillis = environment.time().monotonicMillis();
        }
        if (value && !looping) {
            looping = true;
            pull();
        }
    }

    /** Returns whether this node watches the platform and was answered lately. */
    boolean sighted() {
        return acting && failures == 0 && environment.time().monotonicMillis() - lastAnswerMillis <= SIGHT_MILLIS;
    }

    /** Asks once which generation is current. */
    void readGeneration(LongConsumer answer, Runnable failed) {
        configurations
                .current()
                .whenComplete((current, failure) -> serial.execute(() -> {
                    if (failure == null) {
                        answer.accept(current.map(value -> value.manifest().generation())
                                .orElse(0L));
                    } else {
                        failed.run();
                    }
                }));
    }

    /** Loads what is current, once. */
    void loadOnce() {
        if (!looping) {
            configurations
                    .current()
                    .thenCompose(this::load)
                    .whenComplete((loaded, failure) -> serial.execute(() -> settleLoad(loaded, failure)));
        }
    }

    private void pull() {
        if (stopped || !acting) {
            looping = false;
            return;
        }
        configurations
                .current()
                .whenComplete((current, failure) -> serial.execute(() -> {
                    if (failure != null) {
                        failed(failure.getMessage());
                    } else {
                        answered();
                        loadAndWatch(current);
                    }
                }));
    }

    private void answered() {
        failures = 0;
        lastAnswerMillis = environment.time().monotonicMillis();
    }

    private void loadAndWatch(Optional<ConfigurationStore.Current> current) {
        if (current.isEmpty() || current.get().manifest().generation() <= held.generation()) {
            watch();
            return;
        }
        load(current)
                .whenComplete((loaded, failure) -> serial.execute(() -> {
                    if (settleLoad(loaded, failure)) {
                        watch();
                    }
                }));
    }

    private boolean settleLoad(Optional<Loaded> loaded, Throwable failure) {
        if (failure != null) {
            failed(failure.getMessage());
            return false;
        }
        try {
            loaded.ifPresent(this::offer);
            return true;
        } catch (IllegalStateException e) {
            failed(e.getMessage());
            return false;
        }
    }

    private void offer(Loaded loaded) {
        if (held.offer(loaded.manifest(), loaded.listing(), loaded.texts(), "the platform")) {
            accepted.run();
        }
    }

    private CompletionStage<Optional<Loaded>> load(Optional<ConfigurationStore.Current> current) {
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Manifest manifest = current.get().manifest();
        CompletableFuture<Optional<Loaded>> result = new CompletableFuture<>();
        serial.execute(() -> load(manifest).whenComplete((loaded, failure) -> {
            if (failure == null) {
                result.complete(Optional.of(loaded));
            } else {
                result.completeExceptionally(failure);
            }
        }));
        return result;
    }

    private CompletionStage<Loaded> load(Manifest manifest) {
        long have = held.generation();
        Listing heldListing = held.listing();
        if (have > 0 && have >= manifest.checkpoint().generation() && have <= manifest.generation()) {
            return configurations
                    .changesAfter(manifest, have)
                    .thenCompose(changes -> completeTexts(manifest, step(heldListing, changes), texts(changes)));
        }
        return configurations
                .listing(manifest)
                .thenCompose(listing -> completeTexts(manifest, listing, new HashMap<>()));
    }

    private static Listing step(Listing from, List<Change> changes) {
        Listing listing = from;
        for (Change change : changes) {
            listing = listing.with(change.changedParts(), change.removedParts());
        }
        return listing;
    }

    private static Map<String, String> texts(List<Change> changes) {
        Map<String, String> texts = new HashMap<>();
        changes.forEach(change -> texts.putAll(change.texts()));
        return texts;
    }

    private CompletionStage<Loaded> completeTexts(Manifest manifest, Listing listing, Map<String, String> texts) {
        Map<String, String> missing = held.missing(listing, texts);
        return configurations.parts(missing).thenApply(parts -> {
            parts.forEach(part -> texts.put(listing.digests().get(part.name()), part.text()));
            return new Loaded(manifest, listing, texts);
        });
    }

    private void watch() {
        if (stopped || !acting) {
            looping = false;
            return;
        }
        environment
                .store()
                .watch(ConfigurationStore.MANIFEST, revision, WATCH_TIMEOUT_MILLIS)
                .thenAccept(result -> serial.execute(() -> watched(result)));
    }

    private void watched(WatchResult result) {
        if (result instanceof WatchResult.Changed changed) {
            answered();
            revision = changed.revision();
            if (changed.changes().isEmpty()) {
                watch();
            } else {
                pull();
            }
        } else {
            failed(result.toString());
        }
    }

    private void failed(String reason) {
        if (stopped) {
            looping = false;
            return;
        }
        if (failures == 0) {
            environment.events().record(EventCode.PLATFORM_UNREACHABLE, String.valueOf(reason));
        }
        long delayMillis = Math.max(1, backoff.delayMillis(failures));
        failures++;
        if (looping) {
            environment.timers().schedule(delayMillis, () -> serial.execute(this::pull));
        }
    }
}
