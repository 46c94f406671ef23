package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Keeps file sets on the platform: immutable parts named by their content, and one manifest that names the parts. */
public final class ConfigurationStore {

    /** The name of the manifest's object. */
    public static final String MANIFEST = "configuration/manifest";

    private static final String PARTS = "configuration/parts/";

    private final ObjectStore store;

    /**
     * Creates a store.
     *
     * @param store the platform
     */
    public ConfigurationStore(ObjectStore store) {
        this.store = store;
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
     * Reads the files that a manifest names.
     *
     * @param manifest the manifest
     * @return its files; completes exceptionally if one cannot be read
     */
    public CompletionStage<List<SourceFile>> files(Manifest manifest) {
        CompletionStage<List<SourceFile>> files = CompletableFuture.completedFuture(new ArrayList<>());
        for (Manifest.Part part : manifest.parts()) {
            files = files.thenCombine(store.read(PARTS + part.digest()), (list, read) -> {
                list.add(new SourceFile(part.name(), text(part, read)));
                return list;
            });
        }
        return files;
    }

    private static String text(Manifest.Part part, ReadResult read) {
        if (read instanceof ReadResult.Found found) {
            return new String(found.value(), StandardCharsets.UTF_8);
        }
        throw new IllegalStateException("part " + part.name() + " cannot be read: " + read);
    }

    /**
     * Makes a checked file set current, whole or not at all.
     *
     * @param files its files
     * @param author who applies it
     * @param reason why
     * @param nowMillis the wall-clock time
     * @return whether it is current
     */
    public CompletionStage<ApplyResult> apply(List<SourceFile> files, String author, String reason, long nowMillis) {
        return current()
                .thenCompose(base -> applyOn(base, files, author, reason, nowMillis))
                .exceptionally(failure -> new ApplyResult.Failed(String.valueOf(failure.getMessage()), false));
    }

    private CompletionStage<ApplyResult> applyOn(
            Optional<Current> base, List<SourceFile> files, String author, String reason, long nowMillis) {
        List<Manifest.Part> parts = new ArrayList<>();
        CompletionStage<Void> written = CompletableFuture.completedFuture(null);
        for (SourceFile file : files) {
            String digest = KeyHash.digest(file.text());
            parts.add(new Manifest.Part(file.name(), digest));
            written = written.thenCompose(nothing -> writePart(digest, file));
        }
        long generation = base.map(current -> current.manifest().generation()).orElse(0L) + 1;
        Manifest manifest = new Manifest(
                generation, author, reason, nowMillis, UUID.randomUUID().toString(), parts);
        WriteCondition condition = base.<WriteCondition>map(current -> new WriteCondition.IfVersion(current.version()))
                .orElseGet(WriteCondition.IfAbsent::new);
        return written.thenCompose(nothing -> store.write(MANIFEST, manifest.encode(), condition))
                .thenCompose(result -> settle(result, manifest));
    }

    private CompletionStage<Void> writePart(String digest, SourceFile file) {
        byte[] value = file.text().getBytes(StandardCharsets.UTF_8);
        return store.write(PARTS + digest, value, new WriteCondition.IfAbsent()).thenApply(result -> {
            if (result instanceof WriteResult.Written || result instanceof WriteResult.Conflict) {
                return null;
            }
            throw new IllegalStateException("part " + file.name() + " was not written: " + result);
        });
    }

    private CompletionStage<ApplyResult> settle(WriteResult result, Manifest manifest) {
        if (result instanceof WriteResult.Written) {
            return CompletableFuture.completedFuture(new ApplyResult.Applied(manifest.generation()));
        }
        if (result instanceof WriteResult.Unavailable unavailable) {
            return CompletableFuture.completedFuture(new ApplyResult.Failed(unavailable.reason(), false));
        }
        return current()
                .<ApplyResult>thenApply(read -> compare(read, manifest))
                .exceptionally(failure -> new ApplyResult.Failed(
                        String.valueOf(failure.getMessage()), result instanceof WriteResult.Unknown));
    }

    private static ApplyResult compare(Optional<Current> read, Manifest manifest) {
        if (read.isEmpty()) {
            return new ApplyResult.Failed("the platform lost the write", false);
        }
        Manifest now = read.get().manifest();
        return now.token().equals(manifest.token())
                ? new ApplyResult.Applied(manifest.generation())
                : new ApplyResult.Conflicted(now);
    }
}
