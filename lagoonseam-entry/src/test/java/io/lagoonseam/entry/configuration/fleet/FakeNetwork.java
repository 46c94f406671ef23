package io.lagoonseam.entry.configuration.fleet;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Delivers messages between nodes in memory, with latency and with cuts between pairs of nodes. */
public final class FakeNetwork {

    private final VirtualTime time;
    private final Random random;
    private final Map<String, Port> ports = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();

    public FakeNetwork(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    public PeerTransport open(String nodeId) {
        Port port = new Port(nodeId);
        ports.put(nodeId, port);
        return port;
    }

    public void close(String nodeId) {
        ports.remove(nodeId);
    }

    public void setCut(String left, String right, boolean value) {
        for (String pair : new String[] {left + ">" + right, right + ">" + left}) {
            if (value) {
                cuts.add(pair);
            } else {
                cuts.remove(pair);
            }
        }
    }

    public void healAll() {
        cuts.clear();
    }

    private long latencyMillis() {
        return 1 + random.nextInt(3);
    }

    private final class Port implements PeerTransport {

        private final String nodeId;
        private final Map<Integer, PeerHandler> handlers = new HashMap<>();

        private Port(String nodeId) {
            this.nodeId = nodeId;
        }

        @Override
        public CompletionStage<PeerReply> request(String receiver, int type, byte[] payload, long timeoutMillis) {
            CompletableFuture<PeerReply> reply = new CompletableFuture<>();
            time.schedule(timeoutMillis, () -> reply.complete(new PeerReply.Unknown("no response")));
            time.schedule(latencyMillis(), () -> deliver(receiver, type, payload, reply));
            return reply;
        }

        private void deliver(String receiver, int type, byte[] payload, CompletableFuture<PeerReply> reply) {
            Port target = ports.get(receiver);
            if (target == null) {
                reply.complete(new PeerReply.NotSent("unknown node"));
                return;
            }
            if (cuts.contains(nodeId + ">" + receiver) || !target.handlers.containsKey(type)) {
                return;
            }
            target.handlers.get(type).handle(nodeId, payload).whenComplete((answer, failure) -> {
                if (failure == null) {
                    time.schedule(latencyMillis(), () -> reply.complete(new PeerReply.Answered(answer)));
                }
            });
        }

        @Override
        public void register(int type, PeerHandler handler) {
            handlers.put(type, handler);
        }
    }
}
