package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.wire.ConfigurationMessages.Announcement;
import io.lagoonseam.wire.ConfigurationMessages.Delta;
import io.lagoonseam.wire.ConfigurationMessages.Parts;
import io.lagoonseam.wire.ConfigurationMessages.PartsRequest;
import io.lagoonseam.wire.ConfigurationMessages.Pull;
import io.lagoonseam.wire.MessageTypes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Sends the generation held here to other nodes and pulls later ones from them. All state is confined to the serial
 * executor.
 */
final class PeerExchange {

    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_DIGESTS_PER_REQUEST = 1_000;

    private final PeerTransport transport;
    private final Executor serial;
    private final ConfigurationReplica replica;
    private final Runnable onAccepted;
    private boolean pulling;
    private String nextSource;
    private long nextGeneration;

    PeerExchange(PeerTransport transport, Executor serial, ConfigurationReplica replica, Runnable onAccepted) {
        this.transport = transport;
        this.serial = serial;
        this.replica = replica;
        this.onAccepted = onAccepted;
    }

    void register() {
        transport.register(MessageTypes.CONFIGURATION_ANNOUNCEMENT, (sender, payload) -> {
            long generation = Announcement.decode(payload).generation();
            serial.execute(() -> onGenerationReported(sender, generation));
            return CompletableFuture.completedFuture(new byte[0]);
        });
        transport.register(MessageTypes.CONFIGURATION_PULL, (sender, payload) -> {
            long generation = Pull.decode(payload).generation();
            return respond(() -> replica.deltaFrom(generation).encode());
        });
        transport.register(MessageTypes.CONFIGURATION_PARTS, (sender, payload) -> {
            List<String> digests = PartsRequest.decode(payload).digests();
            return respond(() -> new Parts(replica.texts(digests)).encode());
        });
    }

    private CompletionStage<byte[]> respond(Supplier<byte[]> response) {
        return CompletableFuture.supplyAsync(response, serial);
    }

    /**
     * Announces the generation held here to other nodes.
     *
     * @param nodeIds the ids of the nodes
     */
    void announce(List<String> nodeIds) {
        byte[] payload = new Announcement(replica.generation()).encode();
        nodeIds.forEach(nodeId ->
                transport.request(nodeId, MessageTypes.CONFIGURATION_ANNOUNCEMENT, payload, REQUEST_TIMEOUT_MILLIS));
    }

    /**
     * Pulls the generation in force at another node if it is later than the one held here. While a pull is in progress,
     * the highest generation reported meanwhile is pulled next.
     *
     * @param nodeId the id of the other node
     * @param generation the generation in force there
     */
    void onGenerationReported(String nodeId, long generation) {
        if (generation <= replica.generation()) {
            return;
        }
        if (!pulling) {
            pull(nodeId, replica.generation());
        } else if (generation >= nextGeneration) {
            nextSource = nodeId;
            nextGeneration = generation;
        }
    }

    private void pull(String nodeId, long baseGeneration) {
        pulling = true;
        request(nodeId, MessageTypes.CONFIGURATION_PULL, new Pull(baseGeneration).encode(), Delta::decode)
                .whenComplete((delta, failure) -> serial.execute(() -> {
                    if (failure != null || delta.generation() <= replica.generation()) {
                        finishPull();
                    } else {
                        applyDelta(nodeId, baseGeneration, delta);
                    }
                }));
    }

    private <T> CompletionStage<T> request(String nodeId, int type, byte[] payload, Function<byte[], T> decoder) {
        return transport.request(nodeId, type, payload, REQUEST_TIMEOUT_MILLIS).thenApply(reply -> {
            if (reply instanceof PeerReply.Answered answered) {
                return decoder.apply(answered.payload());
            }
            throw new IllegalStateException("no response from peer " + nodeId + ": " + reply);
        });
    }

    private void applyDelta(String nodeId, long baseGeneration, Delta delta) {
        if (!delta.full() && replica.generation() != baseGeneration) {
            pull(nodeId, replica.generation());
            return;
        }
        Listing base = delta.full() ? Listing.EMPTY : replica.listing();
        Listing listing = base.with(delta.changed(), delta.removed());
        fetchMissingTexts(
                nodeId, baseGeneration, Manifest.parse(delta.manifest()), listing, new HashMap<>(delta.texts()));
    }

    private void fetchMissingTexts(
            String nodeId, long baseGeneration, Manifest manifest, Listing listing, Map<String, String> texts) {
        Map<String, String> missing = replica.missingTexts(listing, texts);
        if (missing.isEmpty()) {
            offer(nodeId, baseGeneration, manifest, listing, texts);
            return;
        }
        List<String> digests =
                missing.values().stream().limit(MAX_DIGESTS_PER_REQUEST).toList();
        request(nodeId, MessageTypes.CONFIGURATION_PARTS, new PartsRequest(digests).encode(), Parts::decode)
                .whenComplete((parts, failure) -> serial.execute(() -> {
                    if (failure != null || parts.texts().isEmpty()) {
                        finishPull();
                    } else {
                        texts.putAll(parts.texts());
                        fetchMissingTexts(nodeId, baseGeneration, manifest, listing, texts);
                    }
                }));
    }

    private void offer(
            String nodeId, long baseGeneration, Manifest manifest, Listing listing, Map<String, String> texts) {
        try {
            if (replica.offer(manifest, listing, texts, nodeId)) {
                onAccepted.run();
            }
            finishPull();
        } catch (IllegalStateException e) {
            // The resulting listing or a part does not match its digest, or a part is missing, for example because the
            // other node skipped the generation held here. The full listing is pulled instead.
            if (baseGeneration == 0) {
                finishPull();
            } else {
                pull(nodeId, 0);
            }
        }
    }

    private void finishPull() {
        pulling = false;
        String source = nextSource;
        long generation = nextGeneration;
        nextSource = null;
        nextGeneration = 0;
        if (source != null) {
            onGenerationReported(source, generation);
        }
    }
}
