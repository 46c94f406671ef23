package io.lagoonseam.entry.peer;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.entry.tls.TlsFiles;
import io.lagoonseam.wire.FrameKind;
import io.lagoonseam.wire.PeerFrame;
import io.lagoonseam.wire.PeerFrameCodec;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;

/**
 * Sends and answers requests over TCP, one open connection for each pair of nodes. All state of connections belongs to
 * the event loop of this verticle; handlers run on the decision threads.
 */
public final class VertxPeerTransport extends VerticleBase implements PeerTransport {

    /** The type of message that each transport answers by itself, to see whether a connection is alive. */
    public static final int ECHO = 0;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long SILENCE_CHECK_MILLIS = 1_000;
    private static final long FIRST_FRAME_MILLIS = 10_000;
    private static final int HANDLING_LIMIT = 10_000;
    private static final byte[] EMPTY = new byte[0];

    private final PeerTransportOptions options;
    private final PeerMetrics metrics;
    private final Map<Integer, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, Future<PeerConnection>> links = new HashMap<>();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final ConnectionOwner owner = new ConnectionOwner();
    private NetServer server;
    private NetClient client;
    private int handling;
    private long connectionCount;
    private volatile boolean open;
    private volatile int port;

    /**
     * Creates a transport that is not deployed.
     *
     * @param options what it works with
     */
    public VertxPeerTransport(PeerTransportOptions options) {
        super();
        this.options = options;
        this.metrics = new PeerMetrics(options.registry());
    }

    @Override
    public Future<?> start() {
        NetServerOptions serverOptions = new NetServerOptions();
        NetClientOptions clientOptions = new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        options.tls().ifPresent(files -> {
            files.apply(serverOptions, ClientAuth.REQUIRED);
            files.apply(clientOptions);
        });
        server = vertx.createNetServer(serverOptions).connectHandler(this::accept);
        client = vertx.createNetClient(clientOptions);
        return server.listen(options.address().port(), options.address().host()).onSuccess(listening -> {
            port = listening.actualPort();
            open = true;
        });
    }

    @Override
    public Future<?> stop() {
        open = false;
        Set.copyOf(connections).forEach(connection -> connection.close("this node stops"));
        return client.close().compose(nothing -> server.close());
    }

    /**
     * Uses renewed certificates for connections made from now on.
     *
     * @param files where they are
     * @return fails if they cannot be used; those before stay in use then
     */
    public Future<Void> renew(TlsFiles files) {
        return server.updateSSLOptions(files.server(ClientAuth.REQUIRED), true)
                .compose(changed -> client.updateSSLOptions(files.client(), true))
                .mapEmpty();
    }

    /**
     * Returns the port that peers connect to.
     *
     * @return the port, once deployed
     */
    public int port() {
        return port;
    }

    @Override
    public void register(int messageType, PeerHandler handler) {
        handlers.put(messageType, handler);
    }

    @Override
    public CompletionStage<PeerReply> request(String nodeId, int messageType, byte[] payload, long timeoutMillis) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        if (!open) {
            reply.complete(new PeerReply.NotSent("the peer layer is not running"));
            return reply;
        }
        if (payload.length > PeerFrameCodec.FRAME_LIMIT_BYTES / 2) {
            reply.complete(new PeerReply.NotSent("a message of " + payload.length + " bytes is too large"));
            return reply;
        }
        PendingRequest request = new PendingRequest(messageType, payload, reply, options.handlers());
        context.runOnContext(nothing -> begin(nodeId, request, timeoutMillis));
        return reply;
    }

    private void begin(String nodeId, PendingRequest request, long timeoutMillis) {
        long begunMillis = owner.nowMillis();
        long timer = vertx.setTimer(Math.max(1, timeoutMillis), fired -> expire(nodeId, request, begunMillis));
        request.whenDone(() -> vertx.cancelTimer(timer));
        link(nodeId).onComplete(connected -> {
            if (request.done()) {
                return;
            }
            if (connected.failed()) {
                request.fail("no connection: " + connected.cause().getMessage());
                return;
            }
            connected.result().request(request);
        });
    }

    private void expire(String nodeId, PendingRequest request, long begunMillis) {
        if (request.done()) {
            return;
        }
        boolean sent = request.sent();
        request.fail("no answer in time");
        Future<PeerConnection> link = links.get(nodeId);
        if (link != null && link.succeeded()) {
            PeerConnection connection = link.result();
            connection.dropDone();
            if (sent && !connection.heardSince(begunMillis)) {
                checkAlive(connection);
            }
        }
    }

    /** Closes a connection on which not even the transport at the other end answers. */
    private void checkAlive(PeerConnection connection) {
        if (connection.closed() || connection.checking()) {
            return;
        }
        connection.checking(true);
        long begunMillis = owner.nowMillis();
        connection.request(new PendingRequest(ECHO, EMPTY, new CompletableFuture<>(), Runnable::run));
        vertx.setTimer(SILENCE_CHECK_MILLIS, timer -> {
            connection.checking(false);
            if (!connection.closed() && !connection.heardSince(begunMillis)) {
                metrics.silent();
                options.events().record(EventCode.PEER_SILENT, connection.peerId());
                connection.close("the connection was silent");
            }
        });
    }

    private Future<PeerConnection> link(String nodeId) {
        Optional<PeerAddress> address = options.resolver().apply(nodeId);
        Future<PeerConnection> known = links.get(nodeId);
        if (known != null && known.succeeded()) {
            Optional<PeerAddress> dialled = known.result().dialled();
            if (address.isPresent() && dialled.isPresent() && !dialled.equals(address)) {
                known.result().close("the node has another address");
                known = links.get(nodeId);
            }
        }
        if (known != null) {
            return known;
        }
        if (address.isEmpty()) {
            return Future.failedFuture("no address of " + nodeId + " is known");
        }
        Future<PeerConnection> made = connect(nodeId, address.get());
        if (!made.isComplete()) {
            links.put(nodeId, made);
        }
        made.onFailure(cause -> links.remove(nodeId, made));
        return made;
    }

    private Future<PeerConnection> connect(String nodeId, PeerAddress address) {
        return client.connect(address.port(), address.host()).compose(socket -> {
            if (!open || !PeerIdentity.matches(socket, nodeId)) {
                socket.close();
                return Future.failedFuture("the certificate at " + address + " is not that of " + nodeId);
            }
            PeerConnection connection =
                    new PeerConnection(socket, options.nodeId(), nodeId, Optional.of(address), owner, metrics);
            connections.add(connection);
            return Future.succeededFuture(connection);
        });
    }

    private void accept(NetSocket socket) {
        PeerConnection connection = new PeerConnection(socket, options.nodeId(), "", Optional.empty(), owner, metrics);
        connections.add(connection);
        vertx.setTimer(FIRST_FRAME_MILLIS, timer -> {
            if (!connection.closed() && !connection.hasSpoken()) {
                owner.malformed(connection, "no whole frame within " + FIRST_FRAME_MILLIS + " ms");
            }
        });
    }

    private final class ConnectionOwner implements PeerConnection.Owner {

        @Override
        public void requested(PeerConnection connection, PeerFrame frame) {
            if (connection.dialled().isEmpty()) {
                if (!PeerIdentity.matches(connection.socket(), frame.senderId())) {
                    malformed(connection, "the certificate is not that of " + frame.senderId());
                    return;
                }
                keepAsLink(connection);
            }
            answer(connection, frame);
        }

        /** Requests to a node go over the newest connection that the node itself made, if it made one. */
        private void keepAsLink(PeerConnection connection) {
            Future<PeerConnection> link = links.get(connection.peerId());
            boolean replaces = link == null
                    || link.succeeded()
                            && link.result().dialled().isEmpty()
                            && link.result().number() < connection.number();
            if (replaces) {
                links.put(connection.peerId(), Future.succeededFuture(connection));
            }
        }

        @Override
        public void malformed(PeerConnection connection, String reason) {
            metrics.badFrame();
            options.events()
                    .record(EventCode.PEER_FRAME_BAD, connection.socket().remoteAddress() + ": " + reason);
            connection.close("the peer sent a bad frame");
        }

        @Override
        public void closed(PeerConnection connection) {
            connections.remove(connection);
            Future<PeerConnection> link = links.get(connection.peerId());
            if (link != null && link.succeeded() && connection.equals(link.result())) {
                links.remove(connection.peerId());
            }
        }

        @Override
        public long nextNumber() {
            connectionCount++;
            return connectionCount;
        }

        @Override
        public long nowMillis() {
            return options.time().monotonicMillis();
        }
    }

    private void answer(PeerConnection connection, PeerFrame frame) {
        if (!options.nodeId().equals(frame.receiverId())) {
            refuse(connection, frame, "this is " + options.nodeId());
            return;
        }
        if (frame.messageType() == ECHO) {
            connection.write(frame.reply(FrameKind.ANSWER, EMPTY));
            return;
        }
        PeerHandler handler = handlers.get(frame.messageType());
        if (handler == null) {
            refuse(connection, frame, "message type " + frame.messageType() + " is not known");
            return;
        }
        if (handling >= HANDLING_LIMIT) {
            refuse(connection, frame, "too many messages are being handled");
            return;
        }
        handling++;
        try {
            options.handlers().execute(() -> handle(handler, connection, frame));
        } catch (RejectedExecutionException e) {
            handling--;
            refuse(connection, frame, "this node stops");
        }
    }

    private void refuse(PeerConnection connection, PeerFrame frame, String reason) {
        metrics.refused();
        connection.write(frame.reply(FrameKind.REFUSAL, reason.getBytes(StandardCharsets.UTF_8)));
    }

    private void handle(PeerHandler handler, PeerConnection connection, PeerFrame frame) {
        CompletionStage<byte[]> answer;
        try {
            answer = handler.handle(frame.senderId(), frame.payload());
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        answer.whenComplete((payload, failure) -> context.runOnContext(nothing -> {
            handling--;
            if (failure == null) {
                connection.write(frame.reply(FrameKind.ANSWER, payload));
            } else {
                String reason = "the handler failed: " + failure;
                connection.write(frame.reply(FrameKind.FAILURE, reason.getBytes(StandardCharsets.UTF_8)));
            }
        }));
    }
}
