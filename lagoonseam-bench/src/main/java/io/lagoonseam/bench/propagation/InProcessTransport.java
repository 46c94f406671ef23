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

/** Transfers messages between nodes of one process, with a delay of 1 ms each way, and counts their payload bytes. */
final class InProcessTransport {

    private static final long ONE_WAY_DELAY_MILLIS = 1;

    private final Timers timers;
    private final Map<String, Endpoint> endpoints = new ConcurrentHashMap<>();
    private final AtomicLong bytes = new AtomicLong();

    InProcessTransport(Timers timers) {
        this.timers = timers;
    }

    PeerTransport open(String nodeId) {
        Endpoint endpoint = new Endpoint(nodeId);
        endpoints.put(nodeId, endpoint);
        return endpoint;
    }

    void close(String nodeId) {
        endpoints.remove(nodeId);
    }

    long bytes() {
        return bytes.get();
    }

    private final class Endpoint implements PeerTransport {

        private final String nodeId;
        private final Map<Integer, PeerHandler> handlers = new ConcurrentHashMap<>();

        private Endpoint(String nodeId) {
            this.nodeId = nodeId;
        }

        @Override
        public CompletionStage<PeerReply> request(String receiver, int type, byte[] payload, long timeoutMillis) {
            CompletableFuture<PeerReply> reply = new CompletableFuture<>();
            bytes.addAndGet(payload.length);
            timers.schedule(ONE_WAY_DELAY_MILLIS, () -> deliver(receiver, type, payload, timeoutMillis, reply));
            return reply;
        }

        private void deliver(
                String receiver, int type, byte[] payload, long timeoutMillis, CompletableFuture<PeerReply> reply) {
            Endpoint target = endpoints.get(receiver);
            if (target == null || !target.handlers.containsKey(type)) {
                timers.schedule(timeoutMillis, () -> reply.complete(new PeerReply.Unknown("no answer")));
                return;
            }
            target.handlers.get(type).handle(nodeId, payload).whenComplete((answer, failure) -> {
                if (failure == null) {
                    bytes.addAndGet(answer.length);
                    timers.schedule(ONE_WAY_DELAY_MILLIS, () -> reply.complete(new PeerReply.Answered(answer)));
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
