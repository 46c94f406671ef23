package io.lagoonseam.entry.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Walks the accepted changes back from the manifest, by links that skip. */
public final class ConfigurationHistory {

    private final ConfigurationStore configurations;

    /**
     * Creates a history.
     *
     * @param configurations where the changes are kept
     */
    public ConfigurationHistory(ConfigurationStore configurations) {
        this.configurations = configurations;
    }

    /**
     * Reads the latest changes.
     *
     * @param limit the most changes to read
     * @return the changes, latest first
     */
    public CompletionStage<List<Change>> latest(int limit) {
        return configurations
                .current()
                .thenCompose(current -> current.isEmpty()
                        ? CompletableFuture.completedFuture(new ArrayList<>())
                        : collect(current.get().manifest().id(), limit, new ArrayList<>()));
    }

    private CompletionStage<List<Change>> collect(String id, int limit, List<Change> collected) {
        return configurations.change(id).thenCompose(this::whole).thenCompose(change -> {
            collected.add(change);
            if (change.base() == null || collected.size() >= limit) {
                return CompletableFuture.completedFuture(collected);
            }
            return collect(change.base().id(), limit, collected);
        });
    }

    /**
     * Adds the differences to a change that was kept without them.
     *
     * @param change the change
     * @return the change with its differences; completes exceptionally if a part cannot be read
     */
    public CompletionStage<Change> whole(Change change) {
        if (!change.differencesOmitted()) {
            return CompletableFuture.completedFuture(change);
        }
        return replacedParts(change)
                .thenCombine(
                        configurations.parts(change.changedParts()),
                        (before, after) -> change.withDifferences(FileSetDifference.between(before, after)));
    }

    private CompletionStage<List<SourceFile>> replacedParts(Change change) {
        if (change.base() == null) {
            return CompletableFuture.completedFuture(List.of());
        }
        return configurations
                .change(change.base().id())
                .thenCompose(base -> configurations.listing(base.manifest()))
                .thenCompose(listing -> {
                    Map<String, String> replaced = new TreeMap<>(listing.digests());
                    replaced.keySet()
                            .removeIf(name -> !change.changedParts().containsKey(name)
                                    && !change.removedParts().contains(name));
                    return configurations.parts(replaced);
                });
    }

    /**
     * Finds the accepted change of a generation.
     *
     * @param from a later or the same accepted change
     * @param generation the generation
     * @return its manifest; completes exceptionally if a change cannot be read
     */
    public CompletionStage<Optional<Manifest>> find(Manifest from, long generation) {
        if (from.generation() == generation) {
            return CompletableFuture.completedFuture(Optional.of(from));
        }
        if (from.generation() < generation || generation < 1) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return configurations
                .change(from.towards(generation).id())
                .thenCompose(change -> find(change.manifest(), generation));
    }

    /**
     * Finds the change that was current at a moment.
     *
     * @param from a later accepted change
     * @param atMillis the moment, in milliseconds since the epoch
     * @return its manifest, or empty if the first change came later
     */
    public CompletionStage<Optional<Manifest>> at(Manifest from, long atMillis) {
        if (from.appliedAtMillis() <= atMillis) {
            return CompletableFuture.completedFuture(Optional.of(from));
        }
        if (from.ancestors().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return configurations
                .change(from.towardsTime(atMillis).id())
                .thenCompose(change -> at(change.manifest(), atMillis));
    }
}
