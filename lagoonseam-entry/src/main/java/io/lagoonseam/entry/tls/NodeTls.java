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

/** The TLS certificates of one node and their renewal when the files change. */
public final class NodeTls {

    private static final long CHECK_INTERVAL_MILLIS = 2_000;

    private final Vertx vertx;
    private final EntrySettings settings;
    private final EventSink events;
    private final List<TlsReloader> reloaders = new ArrayList<>();

    /**
     * Creates the TLS support of a node.
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
     * Returns the options of the HTTP server for callers.
     *
     * @return options with TLS if the settings name certificates for callers, without TLS otherwise
     */
    public HttpServerOptions callerOptions() {
        HttpServerOptions options = new HttpServerOptions();
        settings.callerTls().ifPresent(files -> files.apply(options, ClientAuth.NONE));
        return options;
    }

    /**
     * Starts the periodic check for changed files.
     *
     * @param callerServer the HTTP server for callers
     * @param renewPeers applies changed files to the peer layer
     */
    public void watch(HttpServer callerServer, Function<TlsFiles, Future<?>> renewPeers) {
        settings.callerTls()
                .ifPresent(files -> watch(
                        files, changed -> callerServer.updateSSLOptions(changed.serverOptions(ClientAuth.NONE), true)));
        settings.peerTls().ifPresent(files -> watch(files, renewPeers));
    }

    private void watch(TlsFiles files, Function<TlsFiles, Future<?>> renew) {
        TlsReloader reloader = new TlsReloader(vertx, files, renew, events);
        reloader.start(CHECK_INTERVAL_MILLIS);
        reloaders.add(reloader);
    }

    /** Stops the periodic checks. */
    public void stop() {
        reloaders.forEach(TlsReloader::stop);
    }
}
