package io.lagoonseam.entry.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** The counters of frames, refusals and connections between nodes. */
final class PeerMetrics {

    private final Counter bytesSent;
    private final Counter bytesReceived;
    private final Counter framesSent;
    private final Counter framesReceived;
    private final Counter badFrames;
    private final Counter refusals;
    private final Counter unresponsiveConnections;
    private final Counter connections;

    PeerMetrics(MetricRegistry registry) {
        this.bytesSent = registry.counter("peer.bytesSent");
        this.bytesReceived = registry.counter("peer.bytesReceived");
        this.framesSent = registry.counter("peer.framesSent");
        this.framesReceived = registry.counter("peer.framesReceived");
        this.badFrames = registry.counter("peer.badFrames");
        this.refusals = registry.counter("peer.refusals");
        this.unresponsiveConnections = registry.counter("peer.silentConnections");
        this.connections = registry.counter("peer.connections");
    }

    void frameSent(int bytes) {
        bytesSent.inc(bytes);
        framesSent.inc();
    }

    void frameReceived(int bytes) {
        bytesReceived.inc(bytes);
        framesReceived.inc();
    }

    void badFrame() {
        badFrames.inc();
    }

    void requestRefused() {
        refusals.inc();
    }

    void connectionUnresponsive() {
        unresponsiveConnections.inc();
    }

    void connectionOpened() {
        connections.inc();
    }

    void connectionClosed() {
        connections.dec();
    }
}
