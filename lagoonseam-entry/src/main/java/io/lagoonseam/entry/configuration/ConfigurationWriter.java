package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.lagoonseam.core.time.Timers;
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
 * Applies one file set: parts first, then the record of the change, then the manifest by one conditional update. A lost
 * answer is settled by repeating the same conditional update, and where that conflicts, by the accepted history.
 */
final class ConfigurationWriter {

    private static final int ATTEMPTS = 10;
    private static final long RETRY_BASE_MILLIS = 20;
    private static final long RETRY_CAP_MILLIS = 1_000;
    private static final int PARALLEL_WRITES = 32;
    private static final int CHANGES_PER_CHECKPOINT = 16;
    private static final int INLINE_LIMIT_BYTES = 200_000;

    private final ObjectStore store;
    private final ConfigurationStore configurations;
    private final ConfigurationHistory history;
    private final Timers timers;

    ConfigurationWriter(ObjectStore store, ConfigurationStore configurations, Timers timers) {
        this.store = store;
        this.timers = timers;
        this.configurations = configurations;
        this.history = new ConfigurationHistory(configurations);
    }

    private record Base(Optional<ConfigurationStore.Current> current, Listing listing) {

        long generation() {
            return current.map(value -> value.manifest().generation()).orElse(0L);
        }
    }

    private record Prepared(Base base, Change change, Map<String, String> texts) {

        Manifest manifest() {
            return change.manifest();
        }
    }

    CompletionStage<ApplyResult> apply(
            List<SourceFile> files, String author, String reason, long nowMillis, Optional<Long> expected) {
        ConfigurationParts parts = ConfigurationParts.of(files);
        return configurations
                .current()
                .thenCompose(current -> {
                    long generation =
                            current.map(value -> value.manifest().generation()).orElse(0L);
                    return expected.isPresent() && expected.get() != generation
                            ? baseMoved(current, files, expected.get())
                            : readBase(current)
                                    .thenCompose(base -> prepare(base, parts, author, reason, nowMillis))
                                    .thenCompose(this::write);
                })
                .exceptionally(failure -> new ApplyResult.Failed(String.valueOf(failure.getMessage()), false));
    }

    private CompletionStage<Base> readBase(Optional<ConfigurationStore.Current> current) {
        return current.isEmpty()
                ? CompletableFuture.completedFuture(new Base(current, Listing.EMPTY))
                : configurations.listing(current.get().manifest()).thenApply(listing -> new Base(current, listing));
    }

    private CompletionStage<Prepared> prepare(
            Base base, ConfigurationParts parts, String author, String reason, long nowMillis) {
        SortedMap<String, String> before = base.listing().digests();
        Map<String, String> changed = new TreeMap<>(parts.listing().digests());
        changed.entrySet().removeAll(before.entrySet());
        Map<String, String> replaced = new TreeMap<>(before);
        replaced.entrySet().removeAll(parts.listing().digests().entrySet());
        return configurations
                .parts(replaced)
                .thenApply(old -> prepared(
                        base, parts, changed, old, manifest(base, parts.listing(), author, reason, nowMillis)));
    }

    private static Prepared prepared(
            Base base,
            ConfigurationParts parts,
            Map<String, String> changed,
            List<SourceFile> replaced,
            Manifest manifest) {
        Map<String, String> texts = new TreeMap<>();
        List<SourceFile> fresh = new ArrayList<>();
        changed.forEach((name, digest) -> {
            texts.put(digest, parts.texts().get(digest));
            fresh.add(new SourceFile(name, parts.texts().get(digest)));
        });
        TreeSet<String> removed = new TreeSet<>(base.listing().digests().keySet());
        removed.removeAll(parts.listing().digests().keySet());
        List<DocumentDifference> differences = FileSetDifference.between(replaced, fresh);
        boolean isInlined = differences.stream()
                        .mapToInt(difference -> difference.toString().length())
                        .sum()
                <= INLINE_LIMIT_BYTES;
        Change change = new Change(
                manifest,
                base.current().map(value -> value.manifest().link()).orElse(null),
                changed,
                List.copyOf(removed),
                size(texts) <= INLINE_LIMIT_BYTES ? texts : Map.of(),
                isInlined ? differences : List.of(),
                !isInlined);
        if (manifest.changesSince().isEmpty()) {
            texts.put(manifest.checkpoint().digest(), parts.listing().encode());
        }
        return new Prepared(base, change, texts);
    }

    private static int size(Map<String, String> texts) {
        return texts.values().stream().mapToInt(String::length).sum();
    }

    private static Manifest manifest(Base base, Listing listing, String author, String reason, long nowMillis) {
        long generation = base.generation() + 1;
        String id = "%012d-%s".formatted(generation, UUID.randomUUID());
        Optional<Manifest> before = base.current().map(ConfigurationStore.Current::manifest);
        String digest = listing.digest();
        Manifest.Checkpoint checkpoint = new Manifest.Checkpoint(generation, digest);
        List<String> since = new ArrayList<>();
        if (before.isPresent() && before.get().changesSince().size() < CHANGES_PER_CHECKPOINT) {
            checkpoint = before.get().checkpoint();
            since.addAll(before.get().changesSince());
            since.add(id);
        }
        long appliedAtMillis =
                Math.max(nowMillis, before.map(Manifest::appliedAtMillis).orElse(0L));
        List<Manifest.ChangeLink> ancestors =
                before.map(Manifest::ancestorsOfNext).orElse(List.of());
        return new Manifest(generation, author, reason, appliedAtMillis, id, checkpoint, since, digest, ancestors);
    }

    private CompletionStage<ApplyResult> write(Prepared prepared) {
        CompletionStage<Void> written = writeParts(List.copyOf(prepared.texts().entrySet()));
        byte[] change = ConfigurationJson.write(prepared.change());
        String name = ConfigurationStore.CHANGES + prepared.manifest().id();
        return written.thenCompose(nothing -> writeImmutable(name, change))
                .thenCompose(nothing -> writeManifest(prepared, ATTEMPTS, false));
    }

    private CompletionStage<Void> writeParts(List<Map.Entry<String, String>> texts) {
        CompletionStage<Void> all = CompletableFuture.completedFuture(null);
        for (int start = 0; start < texts.size(); start += PARALLEL_WRITES) {
            List<Map.Entry<String, String>> batch =
                    texts.subList(start, Math.min(texts.size(), start + PARALLEL_WRITES));
            all = all.thenCompose(nothing -> writeBatch(batch));
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
        return writeImmutable(name, value, ATTEMPTS);
    }

    private CompletionStage<Void> writeImmutable(String name, byte[] value, int attempts) {
        return store.write(name, value, new WriteCondition.IfAbsent()).thenCompose(result -> {
            if (result instanceof WriteResult.Written || result instanceof WriteResult.Conflict) {
                return CompletableFuture.completedFuture(null);
            }
            if (attempts <= 1) {
                throw new IllegalStateException(name + " was not written: " + result);
            }
            return later(attempts, () -> writeImmutable(name, value, attempts - 1));
        });
    }

    private <T> CompletionStage<T> later(int attemptsLeft, Supplier<CompletionStage<T>> action) {
        long delayMillis = Math.min(RETRY_CAP_MILLIS, RETRY_BASE_MILLIS << ATTEMPTS - attemptsLeft);
        CompletableFuture<Void> due = new CompletableFuture<>();
        timers.schedule(delayMillis, () -> due.complete(null));
        return due.thenCompose(nothing -> action.get());
    }

    private CompletionStage<ApplyResult> writeManifest(Prepared prepared, int attempts, boolean mayBeApplied) {
        WriteCondition condition = prepared.base()
                .current()
                .<WriteCondition>map(current -> new WriteCondition.IfVersion(current.version()))
                .orElseGet(WriteCondition.IfAbsent::new);
        return store.write(ConfigurationStore.MANIFEST, prepared.manifest().encode(), condition)
                .thenCompose(result -> {
                    boolean unsure = mayBeApplied || result instanceof WriteResult.Unknown;
                    if (result instanceof WriteResult.Written) {
                        return CompletableFuture.completedFuture(
                                new ApplyResult.Applied(prepared.manifest().generation()));
                    }
                    if (result instanceof WriteResult.Conflict) {
                        return settle(prepared, unsure, ATTEMPTS);
                    }
                    if (attempts <= 1) {
                        return CompletableFuture.completedFuture(
                                new ApplyResult.Failed("the platform does not answer: " + result, unsure));
                    }
                    return later(attempts, () -> writeManifest(prepared, attempts - 1, unsure));
                });
    }

    /** The manifest is no longer the one that this change was made on: either this change or another went first. */
    private CompletionStage<ApplyResult> settle(Prepared prepared, boolean mayBeApplied, int attempts) {
        long generation = prepared.manifest().generation();
        return configurations
                .current()
                .thenCompose(current -> history.find(current.orElseThrow().manifest(), generation))
                .thenCompose(accepted -> decide(prepared, accepted.orElseThrow()))
                .handle((result, failure) -> {
                    if (failure == null) {
                        return CompletableFuture.completedFuture(result);
                    }
                    if (attempts <= 1) {
                        return CompletableFuture.<ApplyResult>completedFuture(
                                new ApplyResult.Failed(String.valueOf(failure.getMessage()), mayBeApplied));
                    }
                    return later(attempts, () -> settle(prepared, mayBeApplied, attempts - 1));
                })
                .thenCompose(stage -> stage);
    }

    private CompletionStage<ApplyResult> decide(Prepared prepared, Manifest accepted) {
        if (accepted.id().equals(prepared.manifest().id())) {
            return CompletableFuture.completedFuture(new ApplyResult.Applied(accepted.generation()));
        }
        return configurations
                .change(accepted.id())
                .thenCompose(history::whole)
                .thenCombine(
                        history.whole(prepared.change()),
                        (winner, own) ->
                                new ApplyResult.Conflicted(accepted, clashes(own.differences(), winner.differences())));
    }

    private static List<String> clashes(List<DocumentDifference> own, List<DocumentDifference> others) {
        TreeSet<String> keys = new TreeSet<>();
        own.forEach(difference -> keys.add(difference.key()));
        TreeSet<String> theirs = new TreeSet<>();
        others.forEach(difference -> theirs.add(difference.key()));
        keys.retainAll(theirs);
        return List.copyOf(keys);
    }

    /** The generation that the files were compared with is not current: says who went first, and what clashes. */
    private CompletionStage<ApplyResult> baseMoved(
            Optional<ConfigurationStore.Current> current, List<SourceFile> files, long expected) {
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(
                    new ApplyResult.Failed("there is no generation " + expected, false));
        }
        Manifest head = current.get().manifest();
        if (head.generation() < expected) {
            return CompletableFuture.completedFuture(new ApplyResult.Failed(
                    "generation " + expected + " does not exist; current is " + head.generation(), false));
        }
        return history.find(head, expected)
                .thenCompose(found -> partsOf(found)
                        .thenCompose(before -> history.find(head, expected + 1)
                                .thenCompose(winner -> configurations
                                        .files(head)
                                        .thenApply(now -> new ApplyResult.Conflicted(
                                                winner.orElse(head),
                                                clashes(
                                                        FileSetDifference.ofFiles(before, files),
                                                        FileSetDifference.between(before, now)))))));
    }

    private CompletionStage<List<SourceFile>> partsOf(Optional<Manifest> manifest) {
        return manifest.isEmpty() ? CompletableFuture.completedFuture(List.of()) : configurations.files(manifest.get());
    }
}
