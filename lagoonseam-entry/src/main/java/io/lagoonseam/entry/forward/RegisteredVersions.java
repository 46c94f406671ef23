package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreResult;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Reads from the store which software versions the workers of a service have now. What this node follows may be some
 * seconds old without its noticing. Questions that arrive while a call is pending share the next one, since the pending
 * one may have been answered before them.
 */
final class RegisteredVersions {

    /** How long a caller waits for the store, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 400;

    private final CollectionStore store;
    private final RecordDecoder decoder;
    private Future<StoreResult> pending = Future.succeededFuture();
    private Future<StoreResult> next;

    RegisteredVersions(CollectionStore store, RecordDecoder decoder) {
        this.store = store;
        this.decoder = decoder;
    }

    /**
     * Reads the versions of a service.
     *
     * @param service the name of the service
     * @return the versions, an empty text for one that a worker does not state; empty if the store does not answer
     */
    CompletionStage<Optional<Set<String>>> read(String service) {
        return list().timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .map(result -> result instanceof StoreResult.Objects objects
                        ? Optional.of(versions(objects, service))
                        : Optional.<Set<String>>empty())
                .otherwise(Optional.empty())
                .toCompletionStage();
    }

    private Future<StoreResult> list() {
        if (pending.isComplete()) {
            pending = store.list(CollectionStore.UPSTREAMS, false);
            return pending;
        }
        if (next == null) {
            next = pending.transform(ended -> {
                next = null;
                pending = store.list(CollectionStore.UPSTREAMS, false);
                return pending;
            });
        }
        return next;
    }

    private Set<String> versions(StoreResult.Objects objects, String service) {
        return objects.objects().stream()
                .map(decoder::upstream)
                .flatMap(Optional::stream)
                .filter(record -> record.service().equals(service))
                .map(UpstreamRecord::softwareVersion)
                .collect(Collectors.toSet());
    }
}
