package io.lagoonseam.entry.store;

import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.time.Timers;
import io.lagoonseam.wire.MessageTypes;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Tells other nodes that a connection to the store has gone silent. Where long polls are so long that a node notices
 * its own too late, the first one that notices has all nodes list the collections anew, over new connections. Not
 * thread-safe: all calls and callbacks run on one event loop.
 */
public final class StoreSilenceExchange {

    /**
     * The time after a message within which no other one is sent or acted on, in milliseconds. While the store itself
     * is silent, every node notices that.
     */
    private static final long QUIET_MILLIS = 2_000;

    /** The shortest time over which nodes spread their listings, in milliseconds, and the time for each node. */
    private static final long MIN_SPREAD_MILLIS = 100;

    private static final long SPREAD_MILLIS_PER_NODE = 1;

    private static final long MESSAGE_TIMEOUT_MILLIS = 500;
    private static final byte[] EMPTY = new byte[0];

    private final Environment environment;
    private long quietUntilMillis = Long.MIN_VALUE;

    /**
     * What the exchange needs from its node.
     *
     * @param time the clocks
     * @param timers runs tasks later, on the event loop
     * @param eventLoop runs callbacks
     * @param transport the transport between nodes
     * @param otherNodes returns the ids of the nodes to tell; empty if each notices silence by itself in time
     * @param random spreads the listings of the nodes
     * @param onSilence has the collections listed anew, over new connections
     */
    public record Environment(
            TimeSource time,
            Timers timers,
            Executor eventLoop,
            PeerTransport transport,
            Supplier<List<String>> otherNodes,
            RandomGenerator random,
            Runnable onSilence) {}

    /**
     * Creates an exchange and registers it for messages.
     *
     * @param environment what it needs from its node
     */
    public StoreSilenceExchange(Environment environment) {
        this.environment = environment;
        environment.transport().register(MessageTypes.STORE_SILENT, (sender, payload) -> {
            environment.eventLoop().execute(this::onTold);
            return CompletableFuture.completedFuture(EMPTY);
        });
    }

    /** Tells the other nodes that a watch of this node has ended without an answer. */
    public void noticed() {
        List<String> others = environment.otherNodes().get();
        if (others.isEmpty() || !begin()) {
            return;
        }
        for (String node : others) {
            environment.transport().request(node, MessageTypes.STORE_SILENT, EMPTY, MESSAGE_TIMEOUT_MILLIS);
        }
        // the other collections of this node may be on silent connections too
        environment.onSilence().run();
    }

    private void onTold() {
        if (begin()) {
            long spreadMillis = MIN_SPREAD_MILLIS
                    + SPREAD_MILLIS_PER_NODE * environment.otherNodes().get().size();
            environment.timers().schedule(environment.random().nextLong(1, spreadMillis), environment.onSilence());
        }
    }

    private boolean begin() {
        long nowMillis = environment.time().monotonicMillis();
        if (nowMillis < quietUntilMillis) {
            return false;
        }
        quietUntilMillis = nowMillis + QUIET_MILLIS;
        return true;
    }
}
