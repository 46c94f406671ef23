package io.lagoonseam.bench.fleet;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Forwards TCP connections from one data centre to the platform and can simulate a network partition between them.
 *
 * <p>The mutable state is confined to the event loop on which the link is deployed.
 */
public final class PlatformLink extends VerticleBase {

    private final String host;
    private final int platformPort;
    private final Set<NetSocket> openSockets = new HashSet<>();
    private NetServer server;
    private NetClient client;
    private boolean isPartitioned;

    /**
     * Creates a link.
     *
     * @param host the IP address of the platform, on which the link listens too
     * @param platformPort the port of the platform
     */
    public PlatformLink(String host, int platformPort) {
        super();
        this.host = host;
        this.platformPort = platformPort;
    }

    @Override
    public Future<?> start() {
        client = vertx.createNetClient();
        server = vertx.createNetServer();
        return server.connectHandler(this::accept).listen(0, host);
    }

    /**
     * Returns the address under which the data centre reaches the platform. Requires that the link is deployed.
     *
     * @return a URL without a path
     */
    public String url() {
        return "http://" + host + ":" + server.actualPort();
    }

    /**
     * Starts or ends a network partition. While partitioned, open connections are closed and new ones are rejected. May
     * be called from any thread; takes effect asynchronously.
     *
     * @param partitioned whether the data centre is separated from the platform
     */
    public void setPartitioned(boolean partitioned) {
        context.runOnContext(nothing -> {
            isPartitioned = partitioned;
            if (partitioned) {
                Set.copyOf(openSockets).forEach(NetSocket::close);
            }
        });
    }

    private void accept(NetSocket nodeSocket) {
        if (isPartitioned) {
            nodeSocket.close();
            return;
        }
        nodeSocket.pause();
        client.connect(platformPort, host)
                .onSuccess(platformSocket -> connectSockets(nodeSocket, platformSocket))
                .onFailure(cause -> nodeSocket.close());
    }

    private void connectSockets(NetSocket nodeSocket, NetSocket platformSocket) {
        openSockets.add(nodeSocket);
        nodeSocket.handler(platformSocket::write);
        platformSocket.handler(nodeSocket::write);
        nodeSocket.closeHandler(closed -> {
            openSockets.remove(nodeSocket);
            platformSocket.close();
        });
        platformSocket.closeHandler(closed -> nodeSocket.close());
        nodeSocket.resume();
    }
}
