package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.retry.JitteredBackoff;
import io.lagoonseam.entry.configuration.ConfigurationStore.VersionedManifest;
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
 * Loads generations from the platform: once at the start, and by a long poll while this node is a relay. All state is
 * confined to the serial executor; only {@link #isRelay()} may be called from other threads.
 */
final class PlatformSource {

    private static final long LONG_POLL_MILLIS = 1_000;
    /** Maximum age of the last response at which the platform is considered reachable. */
    private static final long MAX_RESPONSE_AGE_MILLIS = 1_600;

    private static final long BACKOFF_BASE_MILLIS = 100;
    private static final long BACKOFF_CAP_MILLIS = 3_000;

    private final FollowerEnvironment environment;
    private final Executor serial;
    private final ConfigurationStore configurationStore;
    private final ConfigurationReplica replica;
    private final Runnable onAccepted;
    private final JitteredBackoff backoff;
    private volatile boolean relay;
    private boolean loopActive;
    private boolean stopped;
    private int failures;
    private long revision;
    private long lastResponseMillis;

    PlatformSource(
            FollowerEnvironment environment, Executor serial, ConfigurationReplica replica, Runnable onAccepted) {
        this.environment = environment;
        this.serial = serial;
        this.configurationStore = new ConfigurationStore(environment.store());
        this.replica = replica;
        this.onAccepted = onAccepted;
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, new Random(environment.seed()));
    }

    private record LoadedGeneration(Manifest manifest, Listing listing, Map<String, String> texts) {}

    void stop() {
        stopped = true;
    }

    boolean isRelay() {
        return relay;
    }

    /**
     * Takes or gives up the role of a relay.
     *
     * @param value whether this node is to be a relay
     */
    void setRelay(boolean value) {
        if (value == relay || stopped) {
            return;
        }
        relay = value;
        EventCode code = value ? EventCode.CONFIGURATION_RELAY_TAKEN : EventCode.CONFIGURATION_RELAY_GIVEN_UP;
        environment.events().record(code, environment.members().self().nodeId());
        if (value) {
            lastResponseMillis = environment.time().monotonicMillis();
        }
        if (value && !loopActive) {
            loopActive = true;
            readCurrent();
        }
    }

    /**
     * Returns whether this node watches the platform as a relay and received a response recently, without a failure
     * since.
     */
    boolean platformReachable() {
        return relay
                && failures == 0
                && environment.time().monotonicMillis() - lastResponseMillis <= MAX_RESPONSE_AGE_MILLIS;
    }

    /**
     * Reads the current generation once.
     *
     * @param onGeneration receives the generation, 0 if there is none, on the serial executor
     * @param onFailure runs on the serial executor if the platform cannot be read
     */
    void readGeneration(LongConsumer onGeneration, Runnable onFailure) {
        configurationStore
                .current()
                .whenComplete((current, failure) -> serial.execute(() -> {
                    if (failure == null) {
                        onGeneration.accept(
                                current.map(value -> value.manifest().generation())
                                        .orElse(0L));
                    } else {
                        onFailure.run();
                    }
                }));
    }

    /** Loads the current generation once, unless the watch loop does so anyway. */
    void loadOnce() {
        if (!loopActive) {
            configurationStore
                    .current()
                    .thenCompose(this::load)
                    .whenComplete((loaded, failure) -> serial.execute(() -> finishLoad(loaded, failure)));
        }
    }

    private void readCurrent() {
        if (stopped || !relay) {
            loopActive = false;
            return;
        }
        configurationStore
                .current()
                .whenComplete((current, failure) -> serial.execute(() -> {
                    if (failure != null) {
                        handleFailure(failure.getMessage());
                    } else {
                        recordResponse();
                        loadAndWatch(current);
                    }
                }));
    }

    private void recordResponse() {
        failures = 0;
        lastResponseMillis = environment.time().monotonicMillis();
    }

    private void loadAndWatch(Optional<VersionedManifest> current) {
        if (current.isEmpty() || current.get().manifest().generation() <= replica.generation()) {
            watch();
            return;
        }
        load(current)
                .whenComplete((loaded, failure) -> serial.execute(() -> {
                    if (finishLoad(loaded, failure)) {
                        watch();
                    }
                }));
    }

    private boolean finishLoad(Optional<LoadedGeneration> loaded, Throwable failure) {
        if (failure != null) {
            handleFailure(failure.getMessage());
            return false;
        }
        try {
            loaded.ifPresent(this::offer);
            return true;
        } catch (IllegalStateException e) {
            handleFailure(e.getMessage());
            return false;
        }
    }

    private void offer(LoadedGeneration loaded) {
        if (replica.offer(loaded.manifest(), loaded.listing(), loaded.texts(), "the platform")) {
            onAccepted.run();
        }
    }

    private CompletionStage<Optional<LoadedGeneration>> load(Optional<VersionedManifest> current) {
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Manifest manifest = current.get().manifest();
        CompletableFuture<Optional<LoadedGeneration>> result = new CompletableFuture<>();
        serial.execute(() -> load(manifest).whenComplete((loaded, failure) -> {
            if (failure == null) {
                result.complete(Optional.of(loaded));
            } else {
                result.completeExceptionally(failure);
            }
        }));
        return result;
    }

    private CompletionStage<LoadedGeneration> load(Manifest manifest) {
        long heldGeneration = replica.generation();
        Listing heldListing = replica.listing();
        if (heldGeneration > 0
                && heldGeneration >= manifest.checkpoint().generation()
                && heldGeneration <= manifest.generation()) {
            return configurationStore
                    .changesAfter(manifest, heldGeneration)
                    .thenCompose(changes ->
                            loadMissingTexts(manifest, applyChanges(heldListing, changes), textsOf(changes)));
        }
        return configurationStore
                .listing(manifest)
                .thenCompose(listing -> loadMissingTexts(manifest, listing, new HashMap<>()));
    }

    private static Listing applyChanges(Listing from, List<Change> changes) {
        Listing listing = from;
        for (Change change : changes) {
            listing = listing.with(change.changedParts(), change.removedParts());
        }
        return listing;
    }

    private static Map<String, String> textsOf(List<Change> changes) {
        Map<String, String> texts = new HashMap<>();
        changes.forEach(change -> texts.putAll(change.texts()));
        return texts;
    }

    private CompletionStage<LoadedGeneration> loadMissingTexts(
            Manifest manifest, Listing listing, Map<String, String> texts) {
        Map<String, String> missing = replica.missingTexts(listing, texts);
        return configurationStore.parts(missing).thenApply(parts -> {
            parts.forEach(part -> texts.put(listing.digests().get(part.name()), part.text()));
            return new LoadedGeneration(manifest, listing, texts);
        });
    }

    private void watch() {
        if (stopped || !relay) {
            loopActive = false;
            return;
        }
        environment
                .store()
                .watch(ConfigurationStore.MANIFEST, revision, LONG_POLL_MILLIS)
                .thenAccept(result -> serial.execute(() -> handleWatchResult(result)));
    }

    private void handleWatchResult(WatchResult result) {
        if (result instanceof WatchResult.Changed changed) {
            recordResponse();
            revision = changed.revision();
            if (changed.changes().isEmpty()) {
                watch();
            } else {
                readCurrent();
            }
        } else {
            handleFailure(result.toString());
        }
    }

    private void handleFailure(String reason) {
        if (stopped) {
            loopActive = false;
            return;
        }
        if (failures == 0) {
            environment.events().record(EventCode.PLATFORM_UNREACHABLE, String.valueOf(reason));
        }
        long delayMillis = Math.max(1, backoff.delayMillis(failures));
        failures++;
        if (loopActive) {
            environment.timers().schedule(delayMillis, () -> serial.execute(this::readCurrent));
        }
    }
}
