package io.lagoonseam.entry.forward;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.StoreOutages;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.entry.store.CollectionFollower;
import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreRevision;
import io.lagoonseam.wire.ForwardMessages;
import io.lagoonseam.wire.ForwardMessages.ObjectCopy;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Holds the configuration in force and the workers' records, from the store or from the snapshot of another node.
 * Versions and revisions never decrease.
 */
final class StoreReplica implements ForwardStateExchange.StoreState {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ForwardEnvironment environment;
    private final RecordDecoder decoder;
    private final UpstreamDirectory directory;
    private final StoreOutages outages;
    private final Consumer<RoutingConfiguration> onConfiguration;
    private final Runnable onUpstreams;
    private final LongConsumer onNotFollowed;
    private final Runnable onSilence;
    private final StoreReachability storeReachability;
    private final UpstreamObjects upstreams = new UpstreamObjects();
    private RoutingConfiguration configuration;
    private CollectionObject configurationObject;

    StoreReplica(
            ForwardEnvironment environment,
            RecordDecoder decoder,
            UpstreamDirectory directory,
            Consumer<RoutingConfiguration> onConfiguration,
            Runnable onUpstreams,
            LongConsumer onNotFollowed,
            Runnable onSilence) {
        this.environment = environment;
        this.decoder = decoder;
        this.directory = directory;
        this.outages = directory.outages();
        this.onConfiguration = onConfiguration;
        this.onUpstreams = onUpstreams;
        this.onNotFollowed = onNotFollowed;
        this.onSilence = onSilence;
        this.storeReachability = new StoreReachability(environment.events());
    }

    Optional<RoutingConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    @Override
    public long configurationVersion() {
        return configuration == null ? -1 : configuration.version();
    }

    @Override
    public long upstreamRevision() {
        return upstreams.revision();
    }

    /** Returns the listener for the configuration collection. */
    CollectionFollower.Listener configurationListener() {
        return new ConfigurationListener();
    }

    /** Returns the listener for the workers' collection. */
    CollectionFollower.Listener upstreamListener() {
        return new UpstreamListener();
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private void applyConfiguration(CollectionObject object) {
        if (object.removed()) {
            environment
                    .events()
                    .record(
                            EventCode.CONFIGURATION_UNREADABLE,
                            "configuration object removed from the store; the last valid configuration stays in force");
            return;
        }
        Optional<RoutingConfiguration> read = decoder.configuration(object);
        if (read.isEmpty()) {
            environment
                    .events()
                    .record(EventCode.CONFIGURATION_UNREADABLE, object.name() + " at revision " + object.revision());
            return;
        }
        if (isNewer(read.get(), object)) {
            configuration = read.get();
            configurationObject = object;
            environment.events().record(EventCode.CONFIGURATION_IN_FORCE, "version " + configuration.version());
            onConfiguration.accept(configuration);
        }
    }

    /**
     * Returns whether a configuration is newer than the one in force: by its version, or with the same version if it
     * was written again with another content after the store had been restored from a copy.
     */
    private boolean isNewer(RoutingConfiguration read, CollectionObject object) {
        if (read.version() != configurationVersion()) {
            return read.version() > configurationVersion();
        }
        return StoreRevision.era(object.revision()) > StoreRevision.era(configurationObject.revision())
                && !object.content().equals(configurationObject.content());
    }

    private final class ConfigurationListener implements CollectionFollower.Listener {

        @Override
        public void listed(List<CollectionObject> objects, long revision) {
            objects.forEach(StoreReplica.this::applyConfiguration);
        }

        @Override
        public void changed(List<CollectionObject> objects, long revision) {
            objects.forEach(StoreReplica.this::applyConfiguration);
        }

        @Override
        public void failed(String reason) {
            storeReachability.failed("configuration", reason);
        }

        @Override
        public void succeeded() {
            outages.succeeded(nowMillis());
            storeReachability.succeeded("configuration");
        }

        @Override
        public void away(long sentMillis) {
            outages.failed(sentMillis, nowMillis());
        }

        @Override
        public void silent() {
            onSilence.run();
        }
    }

    private final class UpstreamListener implements CollectionFollower.Listener {

        private long followedUntilMillis = Long.MAX_VALUE;

        @Override
        public void listed(List<CollectionObject> objects, long revision) {
            long nowMillis = nowMillis();
            onNotFollowed.accept(Math.max(0, nowMillis - followedUntilMillis));
            followedUntilMillis = nowMillis;
            applyListing(objects, revision);
        }

        @Override
        public void changed(List<CollectionObject> objects, long revision) {
            followedUntilMillis = nowMillis();
            if (objects.isEmpty()) {
                return;
            }
            List<String> removed = objects.stream()
                    .filter(CollectionObject::removed)
                    .map(CollectionObject::name)
                    .toList();
            directory.recordRemovals(removed, nowMillis());
            for (int index = 0; index < objects.size(); index++) {
                CollectionObject object = objects.get(index);
                if (object.removed()) {
                    long removedAt = removalRevision(object, objects.subList(index + 1, objects.size()), revision);
                    upstreams.remove(object, removedAt);
                    directory.applyRemoval(object.name(), removedAt, nowMillis());
                } else {
                    applyChange(object);
                }
            }
            onUpstreams.run();
        }

        /** Applies a change. An entry that has come to name no worker to use is like one that was removed. */
        private void applyChange(CollectionObject object) {
            Optional<UpstreamRecord> record = decodeUpstream(object);
            if (record.isPresent()) {
                upstreams.change(object);
                directory.applyChange(record.get());
            } else {
                upstreams.remove(object, object.revision());
                directory.applyRemoval(object.name(), object.revision(), nowMillis());
            }
        }

        /**
         * Returns the latest revision at which a record may have been removed, since the store does not tell it: before
         * the next change of the record, or that of the whole answer.
         */
        private long removalRevision(CollectionObject removed, List<CollectionObject> later, long revision) {
            long latest = later.stream()
                    .filter(object -> object.name().equals(removed.name()))
                    .mapToLong(object -> object.revision() - 1)
                    .findFirst()
                    .orElse(revision);
            return Math.max(removed.revision(), latest);
        }

        @Override
        public void failed(String reason) {
            storeReachability.failed("workers", reason);
        }

        @Override
        public void succeeded() {
            outages.succeeded(nowMillis());
            storeReachability.succeeded("workers");
        }

        @Override
        public void away(long sentMillis) {
            outages.failed(sentMillis, nowMillis());
        }

        @Override
        public void silent() {
            onSilence.run();
        }
    }

    private Optional<UpstreamRecord> decodeUpstream(CollectionObject object) {
        Optional<UpstreamRecord> read = decoder.upstream(object);
        if (read.isEmpty()) {
            environment.events().record(EventCode.UPSTREAM_UNREADABLE, object.name());
        }
        return read;
    }

    private void applyListing(List<CollectionObject> objects, long revision) {
        if (upstreams.revision() >= 0 && StoreRevision.era(revision) > StoreRevision.era(upstreams.revision())) {
            // the copy may lack workers that registered after it was taken, which write their records again
            environment.events().record(EventCode.STORE_RESTORED, "era " + StoreRevision.era(revision));
            outages.expired(nowMillis());
        }
        List<UpstreamRecord> records = new ArrayList<>();
        List<CollectionObject> usable = new ArrayList<>();
        long newest = -1;
        for (CollectionObject object : objects) {
            newest = Math.max(newest, object.revision());
            decodeUpstream(object).ifPresent(record -> {
                records.add(record);
                usable.add(object);
            });
        }
        upstreams.list(usable, newest, revision);
        directory.applyListing(records, revision, nowMillis());
        onUpstreams.run();
    }

    @Override
    public ForwardMessages.Snapshot snapshot() {
        List<ObjectCopy> copies = new ArrayList<>();
        upstreams.objects().forEach(object -> copies.add(toCopy(object)));
        return new ForwardMessages.Snapshot(
                configurationVersion(),
                configurationObject == null ? List.of() : List.of(toCopy(configurationObject)),
                upstreams.revision(),
                copies);
    }

    private static ObjectCopy toCopy(CollectionObject object) {
        try {
            return new ObjectCopy(object.name(), object.revision(), JSON.writeValueAsBytes(object.content()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the JSON tree of a stored object", e);
        }
    }

    @Override
    public void apply(ForwardMessages.Snapshot snapshot) {
        if (snapshot.configurationVersion() >= configurationVersion()) {
            snapshot.configuration()
                    .forEach(copy -> applyConfiguration(toCollectionObject(CollectionStore.CONFIGURATION, copy)));
        }
        if (snapshot.upstreamRevision() > upstreams.revision()) {
            applyListing(
                    snapshot.upstreams().stream()
                            .map(copy -> toCollectionObject(CollectionStore.UPSTREAMS, copy))
                            .toList(),
                    snapshot.upstreamRevision());
            upstreams.completeUpTo(snapshot.upstreamRevision());
        }
    }

    private CollectionObject toCollectionObject(String collection, ObjectCopy copy) {
        JsonNode content = null;
        try {
            content = decoder.content(collection, copy.content());
        } catch (IOException e) {
            environment.events().record(EventCode.CONFIGURATION_UNREADABLE, copy.name() + ": " + e.getMessage());
        }
        return new CollectionObject(copy.name(), copy.revision(), false, content);
    }
}
