package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.time.Timers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Stores file sets on the platform as immutable parts named by their digest, an immutable record of each change, and
 * one manifest that identifies the current change.
 */
public final class ConfigurationStore {

    /** The name of the object that holds the manifest. */
    public static final String MANIFEST = "configuration/manifest";

    static final String PARTS = "configuration/parts/";
    static final String CHANGES = "configuration/changes/";

    private static final int MAX_PARALLEL_READS = 64;

    private final ObjectStore store;
    private final Timers timers;

    /**
     * Creates a store with the system's timers.
     *
     * @param store the platform
     */
    public ConfigurationStore(ObjectStore store) {
        this(store, Timers.SYSTEM);
    }

    /**
     * Creates a store with the given timers.
     *
     * @param store the platform
     * @param timers schedules retries of writes
     */
    public ConfigurationStore(ObjectStore store, Timers timers) {
        this.store = store;
        this.timers = timers;
    }

    /**
     * The current manifest with the version of its object.
     *
     * @param version the version, for a conditional update
     * @param manifest the manifest
     */
    public record VersionedManifest(long version, Manifest manifest) {}

    /**
     * Reads the current manifest.
     *
     * @return the manifest, or empty if no file set was ever applied; completes exceptionally if the platform does not
     *     respond
     */
    public CompletionStage<Optional<VersionedManifest>> current() {
        return store.read(MANIFEST).thenApply(read -> {
            if (read instanceof ReadResult.Found found) {
                return Optional.of(new VersionedManifest(found.version(), Manifest.parse(found.value())));
            }
            if (read instanceof ReadResult.Absent) {
                return Optional.empty();
            }
            throw new IllegalStateException("the manifest cannot be read from the platform: " + read);
        });
    }

    /**
     * Reads an accepted change.
     *
     * @param id its id
     * @return the change; completes exceptionally if it cannot be read
     */
    public CompletionStage<Change> change(String id) {
        return readBytes(CHANGES + id).thenApply(value -> ConfigurationJson.read(value, Change.class));
    }

    /**
     * Reads the content of a part.
     *
     * @param digest its digest
     * @return its text; completes exceptionally if it cannot be read
     */
    public CompletionStage<String> part(String digest) {
        return readBytes(PARTS + digest).thenApply(value -> new String(value, StandardCharsets.UTF_8));
    }

    private CompletionStage<byte[]> readBytes(String name) {
        return store.read(name).thenApply(read -> {
            if (read instanceof ReadResult.Found found) {
                return found.value();
            }
            throw new IllegalStateException(name + " cannot be read from the platform: " + read);
        });
    }

    /**
     * Reads the changes between a generation and a manifest.
     *
     * @param manifest a manifest whose checkpoint is not after the generation
     * @param generation the generation
     * @return the changes after the generation, oldest first, up to and including the manifest's; completes
     *     exceptionally if one cannot be read
     */
    public CompletionStage<List<Change>> changesAfter(Manifest manifest, long generation) {
        int skipped = (int) (generation - manifest.checkpoint().generation());
        List<String> ids =
                manifest.changesSince().subList(skipped, manifest.changesSince().size());
        return collectInOrder(ids.stream().map(this::change).toList());
    }

    /**
     * Reads the listing of the parts of a generation.
     *
     * @param manifest its manifest
     * @return the listing; completes exceptionally if it cannot be read
     */
    public CompletionStage<Listing> listing(Manifest manifest) {
        Manifest.Checkpoint checkpoint = manifest.checkpoint();
        return readBytes(PARTS + checkpoint.digest())
                .thenApply(Listing::parse)
                .thenCombine(changesAfter(manifest, checkpoint.generation()), (listing, changes) -> {
                    Listing result = listing;
                    for (Change change : changes) {
                        result = result.with(change.changedParts(), change.removedParts());
                    }
                    return result;
                });
    }

    /**
     * Reads parts, with at most {@value #MAX_PARALLEL_READS} reads at a time.
     *
     * @param digests their digests by name
     * @return the parts as files; completes exceptionally if one cannot be read
     */
    public CompletionStage<List<SourceFile>> parts(Map<String, String> digests) {
        List<Map.Entry<String, String>> entries = List.copyOf(digests.entrySet());
        CompletionStage<List<SourceFile>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (int start = 0; start < entries.size(); start += MAX_PARALLEL_READS) {
            List<Map.Entry<String, String>> batch =
                    entries.subList(start, Math.min(entries.size(), start + MAX_PARALLEL_READS));
            all = all.thenCompose(files -> readBatch(batch).thenApply(read -> {
                files.addAll(read);
                return files;
            }));
        }
        return all;
    }

    private CompletionStage<List<SourceFile>> readBatch(List<Map.Entry<String, String>> entries) {
        return collectInOrder(entries.stream()
                .map(entry -> part(entry.getValue()).thenApply(text -> new SourceFile(entry.getKey(), text)))
                .toList());
    }

    private static <T> CompletionStage<List<T>> collectInOrder(List<CompletionStage<T>> stages) {
        CompletionStage<List<T>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (CompletionStage<T> stage : stages) {
            all = all.thenCombine(stage, (list, item) -> {
                list.add(item);
                return list;
            });
        }
        return all;
    }

    /**
     * Reads the parts of a generation.
     *
     * @param manifest its manifest
     * @return its parts as files; completes exceptionally if one cannot be read
     */
    public CompletionStage<List<SourceFile>> files(Manifest manifest) {
        return listing(manifest).thenCompose(listing -> parts(listing.digests()));
    }

    /**
     * Applies a checked file set atomically to the generation that is current at the start of the call.
     *
     * @param files its files
     * @param author who applies it
     * @param reason why it is applied
     * @param nowMillis the wall-clock time, in milliseconds since the epoch
     * @return the result; failures are reported as {@link ApplyResult.Failed}
     */
    public CompletionStage<ApplyResult> apply(List<SourceFile> files, String author, String reason, long nowMillis) {
        return new ConfigurationWriter(store, this, timers).apply(files, author, reason, nowMillis, Optional.empty());
    }

    /**
     * Applies a checked file set atomically if the generation that it was compared with is still current.
     *
     * @param files its files
     * @param author who applies it
     * @param reason why it is applied
     * @param nowMillis the wall-clock time, in milliseconds since the epoch
     * @param baseGeneration the generation that it was compared with, 0 for none
     * @return the result; failures are reported as {@link ApplyResult.Failed}
     */
    public CompletionStage<ApplyResult> applyOn(
            List<SourceFile> files, String author, String reason, long nowMillis, long baseGeneration) {
        return new ConfigurationWriter(store, this, timers)
                .apply(files, author, reason, nowMillis, Optional.of(baseGeneration));
    }
}
