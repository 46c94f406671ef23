package io.lagoonseam.entry.tls;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.entry.settings.EntrySettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** The certificates of one node and their renewal. */
public final class NodeTls {

    private static final long LOOK_MILLIS = 2_000;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final EventSink events;
    private final List<TlsReloader> reloaders = new ArrayList<>();

    /**
     * Creates the certificates of a node.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param events the sink of numbered events
     */
    public NodeTls(Vertx vertx, EntrySettings settings, EventSink events) {
        this.vertx = vertx;
        this.settings = settings;
        this.events = events;
    }

    /**
     * Returns the options of the callers' server.
     *
     * @return options with TLS if the settings have certificates for callers
     */
    public HttpServerOptions callerOptions() {
        HttpServerOptions options = new HttpServerOptions();
        settings.callerTls().ifPresent(files -> files.apply(options, ClientAuth.NONE));
        return options;
    }

    /**
     * Begins to look for changed files.
     *
     * @param callerServer the callers' server
     * @param renewPeers puts the files of the peer layer in use
     */
    public void watch(HttpServer callerServer, Function<TlsFiles, Future<?>> renewPeers) {
        settings.callerTls()
                .ifPresent(files ->
                        watch(files, changed -> callerServer.updateSSLOptions(changed.server(ClientAuth.NONE), true)));
        settings.peerTls().ifPresent(files -> watch(files, renewPeers));
    }

    private void watch(TlsFiles files, Function<TlsFiles, Future<?>> renew) {
        TlsReloader reloader = new TlsReloader(vertx, files, renew, events);
        reloader.start(LOOK_MILLIS);
        reloaders.add(reloader);
    }

    /** Ends the looks. */
    public void stop() {
        reloaders.forEach(TlsReloader::stop);
    }
}
