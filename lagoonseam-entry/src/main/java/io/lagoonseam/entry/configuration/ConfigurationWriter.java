package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.lagoonseam.core.time.Timers;
import io.lagoonseam.entry.configuration.ConfigurationStore.VersionedManifest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Writes a file set to the platform: first its parts, then the record of the change, and last the manifest in one
 * compare-and-set. If the response to the manifest write is lost, the same compare-and-set is retried; if that
 * conflicts, the accepted history shows whether the change took effect.
 */
final class ConfigurationWriter {

    private static final int MAX_ATTEMPTS = 10;
    private static final long BACKOFF_BASE_MILLIS = 20;
    private static final long BACKOFF_CAP_MILLIS = 1_000;
    private static final int MAX_PARALLEL_WRITES = 32;
    /** Changes after which the full listing of a generation is stored again. */
    private static final int CHANGES_PER_CHECKPOINT = 16;
    /** Largest total size of texts, and of differences, that the record of a change contains itself. */
    private static final int INLINE_LIMIT_CHARS = 200_000;

    private final ObjectStore store;
    private final ConfigurationStore configurationStore;
    private final ConfigurationHistory history;
    private final Timers timers;

    ConfigurationWriter(ObjectStore store, ConfigurationStore configurationStore, Timers timers) {
        this.store = store;
        this.timers = timers;
        this.configurationStore = configurationStore;
        this.history = new ConfigurationHistory(configurationStore);
    }

    private record BaseGeneration(Optional<VersionedManifest> current, Listing listing) {

        long generation() {
            return current.map(value -> value.manifest().generation()).orElse(0L);
        }
    }

    private record PreparedChange(BaseGeneration base, Change change, Map<String, String> texts) {

        Manifest manifest() {
            return change.manifest();
        }
    }

    CompletionStage<ApplyResult> apply(
            List<SourceFile> files, String author, String reason, long nowMillis, Optional<Long> expected) {
        ConfigurationParts parts = ConfigurationParts.of(files);
        return configurationStore
                .current()
                .thenCompose(current -> {
                    long generation =
                            current.map(value -> value.manifest().generation()).orElse(0L);
                    return expected.isPresent() && expected.get() != generation
                            ? rejectStaleBase(current, files, expected.get())
                            : readBase(current)
                                    .thenCompose(base -> prepare(base, parts, author, reason, nowMillis))
                                    .thenCompose(this::write);
                })
                .exceptionally(failure -> new ApplyResult.Failed(String.valueOf(failure.getMessage()), false));
    }

    private CompletionStage<BaseGeneration> readBase(Optional<VersionedManifest> current) {
        return current.isEmpty()
                ? CompletableFuture.completedFuture(new BaseGeneration(current, Listing.EMPTY))
                : configurationStore
                        .listing(current.get().manifest())
                        .thenApply(listing -> new BaseGeneration(current, listing));
    }

    private CompletionStage<PreparedChange> prepare(
            BaseGeneration base, ConfigurationParts parts, String author, String reason, long nowMillis) {
        SortedMap<String, String> before = base.listing().digests();
        Map<String, String> changed = new TreeMap<>(parts.listing().digests());
        changed.entrySet().removeAll(before.entrySet());
        Map<String, String> replaced = new TreeMap<>(before);
        replaced.entrySet().removeAll(parts.listing().digests().entrySet());
        return configurationStore
                .parts(replaced)
                .thenApply(replacedFiles -> newPreparedChange(
                        base,
                        parts,
                        changed,
                        replacedFiles,
                        newManifest(base, parts.listing(), author, reason, nowMillis)));
    }

    private static PreparedChange newPreparedChange(
            BaseGeneration base,
            ConfigurationParts parts,
            Map<String, String> changed,
            List<SourceFile> replaced,
            Manifest manifest) {
        Map<String, String> texts = new TreeMap<>();
        List<SourceFile> changedFiles = new ArrayList<>();
        changed.forEach((name, digest) -> {
            texts.put(digest, parts.texts().get(digest));
            changedFiles.add(new SourceFile(name, parts.texts().get(digest)));
        });
        TreeSet<String> removed = new TreeSet<>(base.listing().digests().keySet());
        removed.removeAll(parts.listing().digests().keySet());
        List<DocumentDifference> differences = FileSetDifference.between(replaced, changedFiles);
        boolean isInlined = differences.stream()
                        .mapToInt(difference -> difference.toString().length())
                        .sum()
                <= INLINE_LIMIT_CHARS;
        Change change = new Change(
                manifest,
                base.current().map(value -> value.manifest().link()).orElse(null),
                changed,
                List.copyOf(removed),
                totalChars(texts) <= INLINE_LIMIT_CHARS ? texts : Map.of(),
                isInlined ? differences : List.of(),
                !isInlined);
        if (manifest.changesSince().isEmpty()) {
            texts.put(manifest.checkpoint().digest(), parts.listing().encode());
        }
        return new PreparedChange(base, change, texts);
    }

    private static int totalChars(Map<String, String> texts) {
        return texts.values().stream().mapToInt(String::length).sum();
    }

    private static Manifest newManifest(
            BaseGeneration base, Listing listing, String author, String reason, long nowMillis) {
        long generation = base.generation() + 1;
        String id = "%012d-%s".formatted(generation, UUID.randomUUID());
        Optional<Manifest> before = base.current().map(VersionedManifest::manifest);
        String digest = listing.digest();
        Manifest.Checkpoint checkpoint = new Manifest.Checkpoint(generation, digest);
        List<String> changesSinceCheckpoint = new ArrayList<>();
        if (before.isPresent() && before.get().changesSince().size() < CHANGES_PER_CHECKPOINT) {
            checkpoint = before.get().checkpoint();
            changesSinceCheckpoint.addAll(before.get().changesSince());
            changesSinceCheckpoint.add(id);
        }
        long appliedAtMillis =
                Math.max(nowMillis, before.map(Manifest::appliedAtMillis).orElse(0L));
        List<Manifest.ChangeLink> ancestors =
                before.map(Manifest::ancestorsOfNext).orElse(List.of());
        return new Manifest(
                generation, author, reason, appliedAtMillis, id, checkpoint, changesSinceCheckpoint, digest, ancestors);
    }

    private CompletionStage<ApplyResult> write(PreparedChange prepared) {
        CompletionStage<Void> written = writeParts(List.copyOf(prepared.texts().entrySet()));
        byte[] change = ConfigurationJson.write(prepared.change());
        String name = ConfigurationStore.CHANGES + prepared.manifest().id();
        return written.thenCompose(ignored -> writeImmutable(name, change))
                .thenCompose(ignored -> writeManifest(prepared, MAX_ATTEMPTS, false));
    }

    private CompletionStage<Void> writeParts(List<Map.Entry<String, String>> texts) {
        CompletionStage<Void> all = CompletableFuture.completedFuture(null);
        for (int start = 0; start < texts.size(); start += MAX_PARALLEL_WRITES) {
            List<Map.Entry<String, String>> batch =
                    texts.subList(start, Math.min(texts.size(), start + MAX_PARALLEL_WRITES));
            all = all.thenCompose(ignored -> writeBatch(batch));
        }
        return all;
    }

    private CompletionStage<Void> writeBatch(List<Map.Entry<String, String>> texts) {
        CompletionStage<Void> all = CompletableFuture.completedFuture(null);
        for (Map.Entry<String, String> text : texts) {
            byte[] value = text.getValue().getBytes(StandardCharsets.UTF_8);
            all = all.thenCombine(
                    writeImmutable(ConfigurationStore.PARTS + text.getKey(), value), (left, right) -> null);
        }
        return all;
    }

    private CompletionStage<Void> writeImmutable(String name, byte[] value) {
        return writeImmutable(name, value, MAX_ATTEMPTS);
    }

    private CompletionStage<Void> writeImmutable(String name, byte[] value, int attempts) {
        return store.write(name, value, new WriteCondition.IfAbsent()).thenCompose(result -> {
            if (result instanceof WriteResult.Written || result instanceof WriteResult.Conflict) {
                return CompletableFuture.completedFuture(null);
            }
            if (attempts <= 1) {
                throw new IllegalStateException(name + " could not be written to the platform: " + result);
            }
            return retryAfterBackoff(attempts, () -> writeImmutable(name, value, attempts - 1));
        });
    }

    private <T> CompletionStage<T> retryAfterBackoff(int attemptsLeft, Supplier<CompletionStage<T>> action) {
        long delayMillis = Math.min(BACKOFF_CAP_MILLIS, BACKOFF_BASE_MILLIS << MAX_ATTEMPTS - attemptsLeft);
        CompletableFuture<Void> delay = new CompletableFuture<>();
        timers.schedule(delayMillis, () -> delay.complete(null));
        return delay.thenCompose(ignored -> action.get());
    }

    private CompletionStage<ApplyResult> writeManifest(PreparedChange prepared, int attempts, boolean mayBeApplied) {
        WriteCondition condition = prepared.base()
                .current()
                .<WriteCondition>map(current -> new WriteCondition.IfVersion(current.version()))
                .orElseGet(WriteCondition.IfAbsent::new);
        return store.write(ConfigurationStore.MANIFEST, prepared.manifest().encode(), condition)
                .thenCompose(result -> {
                    boolean outcomeUnknown = mayBeApplied || result instanceof WriteResult.Unknown;
                    if (result instanceof WriteResult.Written) {
                        return CompletableFuture.completedFuture(
                                new ApplyResult.Applied(prepared.manifest().generation()));
                    }
                    if (result instanceof WriteResult.Conflict) {
                        return resolveConflict(prepared, outcomeUnknown, MAX_ATTEMPTS);
                    }
                    if (attempts <= 1) {
                        return CompletableFuture.completedFuture(new ApplyResult.Failed(
                                "the manifest could not be written to the platform: " + result, outcomeUnknown));
                    }
                    return retryAfterBackoff(attempts, () -> writeManifest(prepared, attempts - 1, outcomeUnknown));
                });
    }

    /**
     * Determines the result after a version conflict on the manifest: either this change or another one was accepted.
     */
    private CompletionStage<ApplyResult> resolveConflict(PreparedChange prepared, boolean mayBeApplied, int attempts) {
        long generation = prepared.manifest().generation();
        return configurationStore
                .current()
                .thenCompose(current -> history.find(current.orElseThrow().manifest(), generation))
                .thenCompose(accepted -> toApplyResult(prepared, accepted.orElseThrow()))
                .handle((result, failure) -> {
                    if (failure == null) {
                        return CompletableFuture.completedFuture(result);
                    }
                    if (attempts <= 1) {
                        return CompletableFuture.<ApplyResult>completedFuture(
                                new ApplyResult.Failed(String.valueOf(failure.getMessage()), mayBeApplied));
                    }
                    return retryAfterBackoff(attempts, () -> resolveConflict(prepared, mayBeApplied, attempts - 1));
                })
                .thenCompose(stage -> stage);
    }

    private CompletionStage<ApplyResult> toApplyResult(PreparedChange prepared, Manifest accepted) {
        if (accepted.id().equals(prepared.manifest().id())) {
            return CompletableFuture.completedFuture(new ApplyResult.Applied(accepted.generation()));
        }
        return configurationStore
                .change(accepted.id())
                .thenCompose(history::withDifferences)
                .thenCombine(
                        history.withDifferences(prepared.change()),
                        (acceptedChange, own) -> new ApplyResult.Conflicted(
                                accepted, commonKeys(own.differences(), acceptedChange.differences())));
    }

    private static List<String> commonKeys(List<DocumentDifference> own, List<DocumentDifference> others) {
        TreeSet<String> keys = new TreeSet<>();
        own.forEach(difference -> keys.add(difference.key()));
        TreeSet<String> otherKeys = new TreeSet<>();
        others.forEach(difference -> otherKeys.add(difference.key()));
        keys.retainAll(otherKeys);
        return List.copyOf(keys);
    }

    /**
     * Rejects a change whose base generation is not current, and reports which change was accepted in its place and
     * which documents both changes touch.
     */
    private CompletionStage<ApplyResult> rejectStaleBase(
            Optional<VersionedManifest> current, List<SourceFile> files, long expected) {
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(new ApplyResult.Failed(
                    "the platform holds no configuration, so the base generation cannot be " + expected, false));
        }
        Manifest currentManifest = current.get().manifest();
        if (currentManifest.generation() < expected) {
            return CompletableFuture.completedFuture(new ApplyResult.Failed(
                    "base generation " + expected + " does not exist; the current generation is "
                            + currentManifest.generation(),
                    false));
        }
        return history.find(currentManifest, expected)
                .thenCompose(found -> partsOf(found)
                        .thenCompose(before -> history.find(currentManifest, expected + 1)
                                .thenCompose(acceptedChange -> configurationStore
                                        .files(currentManifest)
                                        .thenApply(now -> new ApplyResult.Conflicted(
                                                acceptedChange.orElse(currentManifest),
                                                commonKeys(
                                                        FileSetDifference.ofFiles(before, files),
                                                        FileSetDifference.between(before, now)))))));
    }

    private CompletionStage<List<SourceFile>> partsOf(Optional<Manifest> manifest) {
        return manifest.isEmpty()
                ? CompletableFuture.completedFuture(List.of())
                : configurationStore.files(manifest.get());
    }
}
