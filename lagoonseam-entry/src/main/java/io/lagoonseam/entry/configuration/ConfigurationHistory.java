package io.lagoonseam.entry.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Reads earlier accepted changes, following their skip links back from the manifest. */
public final class ConfigurationHistory {

    private final ConfigurationStore configurationStore;

    /**
     * Creates a history.
     *
     * @param configurationStore the store that holds the changes
     */
    public ConfigurationHistory(ConfigurationStore configurationStore) {
        this.configurationStore = configurationStore;
    }

    /**
     * Reads the latest changes with their differences.
     *
     * @param limit the maximum number of changes
     * @return the changes, latest first; completes exceptionally if one cannot be read
     */
    public CompletionStage<List<Change>> latest(int limit) {
        return configurationStore
                .current()
                .thenCompose(current -> current.isEmpty()
                        ? CompletableFuture.completedFuture(new ArrayList<>())
                        : collect(current.get().manifest().id(), limit, new ArrayList<>()));
    }

    private CompletionStage<List<Change>> collect(String id, int limit, List<Change> collected) {
        return configurationStore.change(id).thenCompose(this::withDifferences).thenCompose(change -> {
            collected.add(change);
            if (change.base() == null || collected.size() >= limit) {
                return CompletableFuture.completedFuture(collected);
            }
            return collect(change.base().id(), limit, collected);
        });
    }

    /**
     * Adds the differences to a change that was stored without them.
     *
     * @param change the change
     * @return the change with its differences; completes exceptionally if a part cannot be read
     */
    public CompletionStage<Change> withDifferences(Change change) {
        if (!change.differencesOmitted()) {
            return CompletableFuture.completedFuture(change);
        }
        return replacedParts(change)
                .thenCombine(
                        configurationStore.parts(change.changedParts()),
                        (before, after) -> change.withDifferences(FileSetDifference.between(before, after)));
    }

    private CompletionStage<List<SourceFile>> replacedParts(Change change) {
        if (change.base() == null) {
            return CompletableFuture.completedFuture(List.of());
        }
        return configurationStore
                .change(change.base().id())
                .thenCompose(base -> configurationStore.listing(base.manifest()))
                .thenCompose(listing -> {
                    Map<String, String> replaced = new TreeMap<>(listing.digests());
                    replaced.keySet()
                            .removeIf(name -> !change.changedParts().containsKey(name)
                                    && !change.removedParts().contains(name));
                    return configurationStore.parts(replaced);
                });
    }

    /**
     * Finds the accepted change that created a generation.
     *
     * @param from the accepted change to search back from
     * @param generation the generation
     * @return its manifest, or empty if the generation is later than {@code from} or below 1; completes exceptionally
     *     if a change cannot be read
     */
    public CompletionStage<Optional<Manifest>> find(Manifest from, long generation) {
        if (from.generation() == generation) {
            return CompletableFuture.completedFuture(Optional.of(from));
        }
        if (from.generation() < generation || generation < 1) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return configurationStore
                .change(from.ancestorTowards(generation).id())
                .thenCompose(change -> find(change.manifest(), generation));
    }

    /**
     * Finds the change that was current at a moment.
     *
     * @param from the accepted change to search back from
     * @param atMillis the moment, in milliseconds since the epoch
     * @return its manifest, or empty if the first change was applied later; completes exceptionally if a change cannot
     *     be read
     */
    public CompletionStage<Optional<Manifest>> currentAt(Manifest from, long atMillis) {
        if (from.appliedAtMillis() <= atMillis) {
            return CompletableFuture.completedFuture(Optional.of(from));
        }
        if (from.ancestors().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return configurationStore
                .change(from.ancestorTowardsTime(atMillis).id())
                .thenCompose(change -> currentAt(change.manifest(), atMillis));
    }
}
