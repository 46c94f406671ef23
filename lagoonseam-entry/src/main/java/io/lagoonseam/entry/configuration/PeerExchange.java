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

/** Gives generations to other nodes and takes them from others. All state belongs to the serial executor. */
final class PeerExchange {

    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final int DIGESTS_PER_REQUEST = 1_000;

    private final PeerTransport transport;
    private final Executor serial;
    private final HeldConfiguration held;
    private final Runnable accepted;
    private boolean pulling;
    private String nextSource;
    private long nextGeneration;

    PeerExchange(PeerTransport transport, Executor serial, HeldConfiguration held, Runnable accepted) {
        this.transport = transport;
        this.serial = serial;
        this.held = held;
        this.accepted = accepted;
    }

    void register() {
        transport.register(MessageTypes.CONFIGURATION_ANNOUNCEMENT, (sender, payload) -> {
            long generation = Announcement.decode(payload).generation();
            serial.execute(() -> heard(sender, generation));
            return CompletableFuture.completedFuture(new byte[0]);
        });
        transport.register(MessageTypes.CONFIGURATION_PULL, (sender, payload) -> {
            long generation = Pull.decode(payload).generation();
            return answer(() -> held.deltaFrom(generation).encode());
        });
        transport.register(MessageTypes.CONFIGURATION_PARTS, (sender, payload) -> {
            List<String> digests = PartsRequest.decode(payload).digests();
            return answer(() -> new Parts(held.texts(digests)).encode());
        });
    }

    private CompletionStage<byte[]> answer(Supplier<byte[]> answer) {
        return CompletableFuture.supplyAsync(answer, serial);
    }

    /** Tells other nodes which generation is in force here. */
    void announce(List<String> nodeIds) {
        byte[] payload = new Announcement(held.generation()).encode();
        nodeIds.forEach(nodeId ->
                transport.request(nodeId, MessageTypes.CONFIGURATION_ANNOUNCEMENT, payload, REQUEST_TIMEOUT_MILLIS));
    }

    /** Takes note of the generation at another node, and asks it for what is missing here. */
    void heard(String nodeId, long generation) {
        if (generation <= held.generation()) {
            return;
        }
        if (!pulling) {
            pull(nodeId, held.generation());
        } else if (generation >= nextGeneration) {
            nextSource = nodeId;
            nextGeneration = generation;
        }
    }

    private void pull(String nodeId, long from) {
        pulling = true;
        request(nodeId, MessageTypes.CONFIGURATION_PULL, new Pull(from).encode(), Delta::decode)
                .whenComplete((delta, failure) -> serial.execute(() -> {
                    if (failure != null || delta.generation() <= held.generation()) {
                        finish();
                    } else {
                        take(nodeId, from, delta);
                    }
                }));
    }

    private <T> CompletionStage<T> request(String nodeId, int type, byte[] payload, Function<byte[], T> decoder) {
        return transport.request(nodeId, type, payload, REQUEST_TIMEOUT_MILLIS).thenApply(reply -> {
            if (reply instanceof PeerReply.Answered answered) {
                return decoder.apply(answered.payload());
            }
            throw new IllegalStateException("no answer from " + nodeId + ": " + reply);
        });
    }

    private void take(String nodeId, long from, Delta delta) {
        if (!delta.whole() && held.generation() != from) {
            pull(nodeId, held.generation());
            return;
        }
        Listing base = delta.whole() ? Listing.EMPTY : held.listing();
        Listing listing = base.with(delta.changed(), delta.removed());
        complete(nodeId, from, Manifest.parse(delta.manifest()), listing, new HashMap<>(delta.texts()));
    }

    private void complete(String nodeId, long from, Manifest manifest, Listing listing, Map<String, String> texts) {
        Map<String, String> missing = held.missing(listing, texts);
        if (missing.isEmpty()) {
            offer(nodeId, from, manifest, listing, texts);
            return;
        }
        List<String> digests =
                missing.values().stream().limit(DIGESTS_PER_REQUEST).toList();
        request(nodeId, MessageTypes.CONFIGURATION_PARTS, new PartsRequest(digests).encode(), Parts::decode)
                .whenComplete((parts, failure) -> serial.execute(() -> {
                    if (failure != null || parts.texts().isEmpty()) {
                        finish();
                    } else {
                        texts.putAll(parts.texts());
                        complete(nodeId, from, manifest, listing, texts);
                    }
                }));
    }

    private void offer(String nodeId, long from, Manifest manifest, Listing listing, Map<String, String> texts) {
        try {
            if (held.offer(manifest, listing, texts, nodeId)) {
                accepted.run();
            }
            finish();
        } catch (IllegalStateException e) {
            // The difference does not lead from here to there: the other node skipped the generation held here.
            if (from == 0) {
                finish();
            } else {
                pull(nodeId, 0);
            }
        }
    }

    private void finish() {
        pulling = false;
        String source = nextSource;
        long generation = nextGeneration;
        nextSource = null;
        nextGeneration = 0;
        if (source != null) {
            heard(source, generation);
        }
    }
}
