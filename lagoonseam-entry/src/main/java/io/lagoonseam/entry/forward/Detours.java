package io.lagoonseam.entry.forward;

import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.detour.DetourExchange;
import io.vertx.core.http.HttpClientAgent;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Finds nodes through which requests are sent while this one is cut off, and connects to them. */
interface Detours {

    /** There is no other node. */
    Detours NONE = new Detours() {
        @Override
        public CompletionStage<Optional<String>> find(String service, Set<String> excluded) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public PeerTarget target(String service, String peer) {
            throw new IllegalStateException("there is no node " + peer);
        }
    };

    /**
     * Finds a node that reaches the workers of a service.
     *
     * @param service the name of the service
     * @param excluded the ids of nodes that have not taken the request
     * @return the id of the node, empty if none is found; never fails
     */
    CompletionStage<Optional<String>> find(String service, Set<String> excluded);

    /** Returns the target of an attempt through a node that was found. */
    PeerTarget target(String service, String peer);

    /**
     * Creates an object that finds nodes by asking them.
     *
     * @param exchange asks the nodes
     * @param client connects to them
     * @param port the port on which all nodes take requests of other nodes
     * @param time the clocks
     */
    static Detours through(DetourExchange exchange, HttpClientAgent client, int port, TimeSource time) {
        return new Detours() {
            @Override
            public CompletionStage<Optional<String>> find(String service, Set<String> excluded) {
                return exchange.find(service, excluded);
            }

            @Override
            public PeerTarget target(String service, String peer) {
                // a new connection for each request shows that the node is there
                WorkerConnections connections =
                        new WorkerConnections(client, NodeDirectory.host(peer), port, time, () -> false);
                return new PeerTarget(peer, connections, () -> exchange.notTaken(service, peer));
            }
        };
    }
}
