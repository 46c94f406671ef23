package io.lagoonseam.bench.propagation;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.Timers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Messages between the nodes of one process, a millisecond each way, with their bytes counted. */
final class LoopTransport {

    private static final long ONE_WAY_MILLIS = 1;

    private final Timers timers;
    private final Map<String, Port> ports = new ConcurrentHashMap<>();
    private final AtomicLong bytes = new AtomicLong();

    LoopTransport(Timers timers) {
        this.timers = timers;
    }

    PeerTransport open(String nodeId) {
        Port port = new Port(nodeId);
        ports.put(nodeId, port);
        return port;
    }

    void close(String nodeId) {
        ports.remove(nodeId);
    }

    long bytes() {
        return bytes.get();
    }

    private final class Port implements PeerTransport {

        private final String nodeId;
        private final Map<Integer, PeerHandler> handlers = new ConcurrentHashMap<>();

        private Port(String nodeId) {
            this.nodeId = nodeId;
        }

        @Override
        public CompletionStage<PeerReply> request(String receiver, int type, byte[] payload, long timeoutMillis) {
            CompletableFuture<PeerReply> reply = new CompletableFuture<>();
            bytes.addAndGet(payload.length);
            timers.schedule(ONE_WAY_MILLIS, () -> deliver(receiver, type, payload, timeoutMillis, reply));
            return reply;
        }

        private void deliver(
                String receiver, int type, byte[] payload, long timeoutMillis, CompletableFuture<PeerReply> reply) {
            Port target = ports.get(receiver);
            if (target == null || !target.handlers.containsKey(type)) {
                timers.schedule(timeoutMillis, () -> reply.complete(new PeerReply.Unknown("no answer")));
                return;
            }
            target.handlers.get(type).handle(nodeId, payload).whenComplete((answer, failure) -> {
                if (failure == null) {
                    bytes.addAndGet(answer.length);
                    timers.schedule(ONE_WAY_MILLIS, () -> reply.complete(new PeerReply.Answered(answer)));
                } else {
                    reply.complete(new PeerReply.NotSent(failure.toString()));
                }
            });
        }

        @Override
        public void register(int type, PeerHandler handler) {
            handlers.put(type, handler);
        }
    }
}
