package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Reads from the platform which generations are in force in the data centres. */
public final class InForceReader {

    private final ObjectStore store;

    /**
     * Creates a reader.
     *
     * @param store the platform
     */
    public InForceReader(ObjectStore store) {
        this.store = store;
    }

    /**
     * Reads the status of each data centre.
     *
     * @return the statuses, or empty if the platform does not respond; always completes normally
     */
    public CompletionStage<Optional<List<InForceStatus>>> read() {
        return store.list(InForceStatus.PREFIX).thenCompose(listed -> {
            if (!(listed instanceof ListResult.Listed found)) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            CompletionStage<Optional<List<InForceStatus>>> all =
                    CompletableFuture.completedFuture(Optional.of(new ArrayList<>()));
            for (var object : found.objects()) {
                all = all.thenCombine(store.read(object.name()), InForceReader::add);
            }
            return all;
        });
    }

    private static Optional<List<InForceStatus>> add(Optional<List<InForceStatus>> statuses, ReadResult read) {
        if (read instanceof ReadResult.Unavailable) {
            return Optional.empty();
        }
        if (read instanceof ReadResult.Found found) {
            statuses.ifPresent(list -> list.add(InForceStatus.parse(found.value())));
        }
        return statuses;
    }
}
