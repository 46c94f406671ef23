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
 * Sends and answers requests over TCP, normally with one open connection for each pair of nodes; there are two if both
 * connect at the same time. The state of connections is accessed only on the event loop of this verticle; message
 * handlers run on the decision threads.
 */
public final class VertxPeerTransport extends VerticleBase implements PeerTransport {

    /**
     * The type of the echo message, which every transport answers itself and which checks that a connection is alive.
     */
    public static final int ECHO = 0;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long ECHO_TIMEOUT_MILLIS = 1_000;
    private static final long FIRST_FRAME_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_CONCURRENT_HANDLERS = 10_000;
    private static final byte[] EMPTY = new byte[0];

    private final PeerTransportOptions options;
    private final PeerMetrics metrics;
    private final Map<Integer, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, Future<PeerConnection>> connectionsByNode = new HashMap<>();
    private final Set<PeerConnection> connections = new HashSet<>();
    private final ConnectionOwner owner = new ConnectionOwner();
    private NetServer server;
    private NetClient client;
    private int runningHandlers;
    private long lastSequenceNumber;
    private volatile boolean open;
    private volatile int port;

    /**
     * Creates a transport that is not deployed.
     *
     * @param options the settings and collaborators
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
        Set.copyOf(connections).forEach(connection -> connection.close("this node is stopping"));
        return client.close().compose(nothing -> server.close());
    }

    /**
     * Uses renewed certificates for connections opened from now on.
     *
     * @param files the files of certificates and keys
     * @return fails if the files cannot be used; the previous certificates then stay in use
     */
    public Future<Void> renewCertificates(TlsFiles files) {
        return server.updateSSLOptions(files.serverOptions(ClientAuth.REQUIRED), true)
                .compose(changed -> client.updateSSLOptions(files.clientOptions(), true))
                .mapEmpty();
    }

    /**
     * Returns the TCP port that peers connect to.
     *
     * @return the port, or 0 before the transport is deployed
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
        context.runOnContext(nothing -> sendRequest(nodeId, request, timeoutMillis));
        return reply;
    }

    private void sendRequest(String nodeId, PendingRequest request, long timeoutMillis) {
        if (!open) {
            request.fail("the peer layer has ended");
            return;
        }
        long startMillis = owner.nowMillis();
        long timer = vertx.setTimer(Math.max(1, timeoutMillis), fired -> onTimeout(nodeId, request, startMillis));
        request.onCompletion(() -> vertx.cancelTimer(timer));
        connectionTo(nodeId).onComplete(connected -> {
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

    /** Fails a request that timed out and checks the connection if it has received nothing since the request began. */
    private void onTimeout(String nodeId, PendingRequest request, long startMillis) {
        if (request.done()) {
            return;
        }
        boolean sent = request.sent();
        request.fail("no answer in time");
        Future<PeerConnection> existing = connectionsByNode.get(nodeId);
        if (existing != null && existing.succeeded()) {
            PeerConnection connection = existing.result();
            connection.removeCompleted();
            if (sent && !connection.receivedSince(startMillis)) {
                checkLiveness(connection);
            }
        }
    }

    /** Sends an echo request and closes the connection if no frame is received within the echo timeout. */
    private void checkLiveness(PeerConnection connection) {
        if (connection.closed() || connection.checkingLiveness()) {
            return;
        }
        connection.checkingLiveness(true);
        long startMillis = owner.nowMillis();
        connection.request(new PendingRequest(ECHO, EMPTY, new CompletableFuture<>(), Runnable::run));
        vertx.setTimer(ECHO_TIMEOUT_MILLIS, timer -> {
            connection.checkingLiveness(false);
            if (!connection.closed() && !connection.receivedSince(startMillis)) {
                metrics.connectionUnresponsive();
                options.events().record(EventCode.PEER_SILENT, connection.peerId());
                connection.close("the connection was unresponsive");
            }
        });
    }

    /** Returns the connection to a node, opened if there is none; reconnects if the node's address has changed. */
    private Future<PeerConnection> connectionTo(String nodeId) {
        Optional<PeerAddress> address = options.resolver().apply(nodeId);
        Future<PeerConnection> existing = connectionsByNode.get(nodeId);
        if (existing != null && existing.succeeded()) {
            Optional<PeerAddress> dialledAddress = existing.result().dialledAddress();
            if (address.isPresent() && dialledAddress.isPresent() && !dialledAddress.equals(address)) {
                existing.result().close("the address of the node has changed");
                existing = connectionsByNode.get(nodeId);
            }
        }
        if (existing != null) {
            return existing;
        }
        if (address.isEmpty()) {
            return Future.failedFuture("no address of " + nodeId + " is known");
        }
        Future<PeerConnection> connecting = connect(nodeId, address.get());
        if (!connecting.isComplete()) {
            connectionsByNode.put(nodeId, connecting);
        }
        connecting.onFailure(cause -> connectionsByNode.remove(nodeId, connecting));
        return connecting;
    }

    private Future<PeerConnection> connect(String nodeId, PeerAddress address) {
        return client.connect(address.port(), address.host()).compose(socket -> {
            if (!open || !PeerIdentity.matches(socket, nodeId)) {
                socket.close();
                return Future.failedFuture(
                        "this transport was stopped or the certificate at " + address + " does not match " + nodeId);
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
        vertx.setTimer(FIRST_FRAME_TIMEOUT_MILLIS, timer -> {
            if (!connection.closed() && !connection.hasReceivedFrame()) {
                owner.onMalformedFrame(
                        connection, "no complete frame received within " + FIRST_FRAME_TIMEOUT_MILLIS + " ms");
            }
        });
    }

    private final class ConnectionOwner implements PeerConnection.Owner {

        @Override
        public void onRequest(PeerConnection connection, PeerFrame frame) {
            if (connection.dialledAddress().isEmpty()) {
                if (!PeerIdentity.matches(connection.socket(), frame.senderId())) {
                    onMalformedFrame(connection, "certificate does not match node " + frame.senderId());
                    return;
                }
                useForRequests(connection);
            }
            handleRequest(connection, frame);
        }

        /**
         * Selects the connection for requests to a peer: the one that this node opened, otherwise the latest one that
         * the peer opened.
         */
        private void useForRequests(PeerConnection connection) {
            Future<PeerConnection> existing = connectionsByNode.get(connection.peerId());
            boolean replaces = existing == null
                    || existing.succeeded()
                            && existing.result().dialledAddress().isEmpty()
                            && existing.result().sequenceNumber() < connection.sequenceNumber();
            if (replaces) {
                connectionsByNode.put(connection.peerId(), Future.succeededFuture(connection));
            }
        }

        @Override
        public void onMalformedFrame(PeerConnection connection, String reason) {
            metrics.badFrame();
            options.events()
                    .record(EventCode.PEER_FRAME_BAD, connection.socket().remoteAddress() + ": " + reason);
            connection.close("the peer sent a bad frame");
        }

        @Override
        public void onClosed(PeerConnection connection) {
            connections.remove(connection);
            Future<PeerConnection> existing = connectionsByNode.get(connection.peerId());
            if (existing != null && existing.succeeded() && connection.equals(existing.result())) {
                connectionsByNode.remove(connection.peerId());
            }
        }

        @Override
        public long nextSequenceNumber() {
            lastSequenceNumber++;
            return lastSequenceNumber;
        }

        @Override
        public long nowMillis() {
            return options.time().monotonicMillis();
        }
    }

    private void handleRequest(PeerConnection connection, PeerFrame frame) {
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
        if (runningHandlers >= MAX_CONCURRENT_HANDLERS) {
            refuse(connection, frame, "too many messages are being handled");
            return;
        }
        runningHandlers++;
        try {
            options.handlers().execute(() -> runHandler(handler, connection, frame));
        } catch (RejectedExecutionException e) {
            runningHandlers--;
            refuse(connection, frame, "this node stops");
        }
    }

    private void refuse(PeerConnection connection, PeerFrame frame, String reason) {
        metrics.requestRefused();
        connection.write(frame.reply(FrameKind.REFUSAL, reason.getBytes(StandardCharsets.UTF_8)));
    }

    private void runHandler(PeerHandler handler, PeerConnection connection, PeerFrame frame) {
        CompletionStage<byte[]> answer;
        try {
            answer = handler.handle(frame.senderId(), frame.payload());
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        answer.whenComplete((payload, failure) -> context.runOnContext(nothing -> {
            runningHandlers--;
            if (failure == null) {
                connection.write(frame.reply(FrameKind.ANSWER, payload));
            } else {
                String reason = "the handler failed: " + failure;
                connection.write(frame.reply(FrameKind.FAILURE, reason.getBytes(StandardCharsets.UTF_8)));
            }
        }));
    }
}
