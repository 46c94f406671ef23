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
 * Keeps file sets on the platform: immutable parts named by their content, an immutable record of each change, and one
 * manifest that says which change is current.
 */
public final class ConfigurationStore {

    /** The name of the manifest's object. */
    public static final String MANIFEST = "configuration/manifest";

    static final String PARTS = "configuration/parts/";
    static final String CHANGES = "configuration/changes/";

    private static final int PARALLEL_READS = 64;

    private final ObjectStore store;
    private final Timers timers;

    /**
     * Creates a store.
     *
     * @param store the platform
     */
    public ConfigurationStore(ObjectStore store) {
        this(store, Timers.SYSTEM);
    }

    /**
     * Creates a store with timers of its own.
     *
     * @param store the platform
     * @param timers what delays a repeated call
     */
    public ConfigurationStore(ObjectStore store, Timers timers) {
        this.store = store;
        this.timers = timers;
    }

    /**
     * A manifest with the version of its object.
     *
     * @param version the version, for a conditional update
     * @param manifest the manifest
     */
    public record Current(long version, Manifest manifest) {}

    /**
     * Reads what is current.
     *
     * @return the manifest, or empty if none was ever applied; completes exceptionally if the platform does not answer
     */
    public CompletionStage<Optional<Current>> current() {
        return store.read(MANIFEST).thenApply(read -> {
            if (read instanceof ReadResult.Found found) {
                return Optional.of(new Current(found.version(), Manifest.parse(found.value())));
            }
            if (read instanceof ReadResult.Absent) {
                return Optional.empty();
            }
            throw new IllegalStateException("the platform cannot be read: " + read);
        });
    }

    /**
     * Reads one accepted change.
     *
     * @param id its id
     * @return the change; completes exceptionally if it cannot be read
     */
    public CompletionStage<Change> change(String id) {
        return bytes(CHANGES + id).thenApply(value -> ConfigurationJson.read(value, Change.class));
    }

    /**
     * Reads a part.
     *
     * @param digest its digest
     * @return its text; completes exceptionally if it cannot be read
     */
    public CompletionStage<String> part(String digest) {
        return bytes(PARTS + digest).thenApply(value -> new String(value, StandardCharsets.UTF_8));
    }

    private CompletionStage<byte[]> bytes(String name) {
        return store.read(name).thenApply(read -> {
            if (read instanceof ReadResult.Found found) {
                return found.value();
            }
            throw new IllegalStateException(name + " cannot be read: " + read);
        });
    }

    /**
     * Reads the changes after a generation.
     *
     * @param manifest the manifest, whose checkpoint is not after that generation
     * @param generation the generation
     * @return the changes in order, up to the manifest's
     */
    public CompletionStage<List<Change>> changesAfter(Manifest manifest, long generation) {
        int skipped = (int) (generation - manifest.checkpoint().generation());
        List<String> ids =
                manifest.changesSince().subList(skipped, manifest.changesSince().size());
        return inOrder(ids.stream().map(this::change).toList());
    }

    /**
     * Reads which parts a generation has.
     *
     * @param manifest its manifest
     * @return the listing; completes exceptionally if it cannot be read
     */
    public CompletionStage<Listing> listing(Manifest manifest) {
        Manifest.Checkpoint checkpoint = manifest.checkpoint();
        return bytes(PARTS + checkpoint.digest())
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
     * Reads parts, a bounded number at a time.
     *
     * @param digests their digests by name
     * @return the parts as files
     */
    public CompletionStage<List<SourceFile>> parts(Map<String, String> digests) {
        List<Map.Entry<String, String>> entries = List.copyOf(digests.entrySet());
        CompletionStage<List<SourceFile>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (int start = 0; start < entries.size(); start += PARALLEL_READS) {
            List<Map.Entry<String, String>> batch =
                    entries.subList(start, Math.min(entries.size(), start + PARALLEL_READS));
            all = all.thenCompose(files -> batch(batch).thenApply(read -> {
                files.addAll(read);
                return files;
            }));
        }
        return all;
    }

    private CompletionStage<List<SourceFile>> batch(List<Map.Entry<String, String>> entries) {
        return inOrder(entries.stream()
                .map(entry -> part(entry.getValue()).thenApply(text -> new SourceFile(entry.getKey(), text)))
                .toList());
    }

    private static <T> CompletionStage<List<T>> inOrder(List<CompletionStage<T>> stages) {
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
     * Reads the documents of a generation.
     *
     * @param manifest its manifest
     * @return its parts as files; completes exceptionally if one cannot be read
     */
    public CompletionStage<List<SourceFile>> files(Manifest manifest) {
        return listing(manifest).thenCompose(listing -> parts(listing.digests()));
    }

    /**
     * Makes a checked file set current, whole or not at all, on top of whatever is current when it begins.
     *
     * @param files its files
     * @param author who applies it
     * @param reason why
     * @param nowMillis the wall-clock time
     * @return whether it is current
     */
    public CompletionStage<ApplyResult> apply(List<SourceFile> files, String author, String reason, long nowMillis) {
        return new ConfigurationWriter(store, this, timers).apply(files, author, reason, nowMillis, Optional.empty());
    }

    /**
     * Makes a checked file set current if the generation that it was compared with still is.
     *
     * @param files its files
     * @param author who applies it
     * @param reason why
     * @param nowMillis the wall-clock time
     * @param baseGeneration the generation it was compared with, 0 for none
     * @return whether it is current
     */
    public CompletionStage<ApplyResult> applyOn(
            List<SourceFile> files, String author, String reason, long nowMillis, long baseGeneration) {
        return new ConfigurationWriter(store, this, timers)
                .apply(files, author, reason, nowMillis, Optional.of(baseGeneration));
    }
}
