package io.lagoonseam.bench.fleet;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Set;

/** The way from one data centre to the platform, which can be cut. All its state belongs to one event loop. */
public final class PlatformLink extends VerticleBase {

    private final String host;
    private final int platformPort;
    private final Set<NetSocket> open = new HashSet<>();
    private NetServer server;
    private NetClient client;
    private boolean isCut;

    /**
     * Creates a link.
     *
     * @param host the platform's address, which the link listens on too
     * @param platformPort the platform's port
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
     * Returns the platform's address as the data centre sees it, once deployed.
     *
     * @return a URL without a path
     */
    public String url() {
        return "http://" + host + ":" + server.actualPort();
    }

    /**
     * Cuts or mends the link. A cut closes what is open and refuses what is new.
     *
     * @param cut whether the link is cut
     */
    public void cut(boolean cut) {
        context.runOnContext(nothing -> {
            isCut = cut;
            if (cut) {
                Set.copyOf(open).forEach(NetSocket::close);
            }
        });
    }

    private void accept(NetSocket near) {
        if (isCut) {
            near.close();
            return;
        }
        near.pause();
        client.connect(platformPort, host).onSuccess(far -> join(near, far)).onFailure(cause -> near.close());
    }

    private void join(NetSocket near, NetSocket far) {
        open.add(near);
        near.handler(far::write);
        far.handler(near::write);
        near.closeHandler(closed -> {
            open.remove(near);
            far.close();
        });
        far.closeHandler(closed -> near.close());
        near.resume();
    }
}
