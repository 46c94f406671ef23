package io.lagoonseam.entry.placement;

import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.PlacementMessages.Batch;
import io.lagoonseam.wire.PlacementMessages.Decisions;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Carries batches to homes: over the transport between nodes, or directly if this node is the home. */
public final class HomeChannel {

    /** How long an answer is accepted, in milliseconds. {@link HomeLink} gives up on a home earlier. */
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    private final PeerTransport transport;
    private final HomeServer ownServer;
    private final String ownId;
    private final Executor eventLoop;
    private final TimeSource time;

    /**
     * Creates a channel.
     *
     * @param transport the transport between nodes
     * @param ownServer acts as a home at this node
     * @param ownId the id of this node
     * @param eventLoop runs the callbacks
     * @param time the clocks
     */
    public HomeChannel(
            PeerTransport transport, HomeServer ownServer, String ownId, Executor eventLoop, TimeSource time) {
        this.transport = transport;
        this.ownServer = ownServer;
        this.ownId = ownId;
        this.eventLoop = eventLoop;
        this.time = time;
    }

    long nowMillis() {
        return time.monotonicMillis();
    }

    TimeSource time() {
        return time;
    }

    /**
     * Sends a batch. The callback gets the answer, or empty if there is none in time; it may run before this returns.
     */
    void send(String home, Batch batch, Consumer<Optional<Decisions>> onReply) {
        if (home.equals(ownId)) {
            onReply.accept(Optional.of(ownServer.handle(ownId, batch)));
            return;
        }
        transport
                .request(home, MessageTypes.PLACEMENT, batch.encode(), REPLY_TIMEOUT_MILLIS)
                .thenAccept(reply -> eventLoop.execute(() -> onReply.accept(decode(reply))));
    }

    private static Optional<Decisions> decode(PeerReply reply) {
        return reply instanceof PeerReply.Answered answered
                ? Optional.of(Decisions.decode(answered.payload()))
                : Optional.empty();
    }
}
