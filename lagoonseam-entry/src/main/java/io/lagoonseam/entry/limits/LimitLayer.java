package io.lagoonseam.entry.limits;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.limits.LimitSharing;
import io.lagoonseam.core.limits.WorkspaceLimitTable;
import io.lagoonseam.core.limits.WorkspaceLimiter;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessagePackLimitCodec;
import io.lagoonseam.wire.MessageTypes;
import io.vertx.core.Vertx;
import java.util.concurrent.Executor;

/** The limits of workspaces that this node enforces, and the exchange of limit shares with the other nodes. */
public final class LimitLayer {

    private final WorkspaceLimitTable table = new WorkspaceLimitTable();
    private final LimitSharing sharing;
    private final Executor decisions;

    /**
     * Creates the limits of a node.
     *
     * @param members the directory of live nodes
     * @param transport sends requests to the other nodes
     * @param decisions the threads that run decisions
     * @param time the wall clock and the monotonic clock
     * @param events the sink of numbered events
     */
    public LimitLayer(
            MemberDirectory members, PeerTransport transport, Executor decisions, TimeSource time, EventSink events) {
        this.decisions = decisions;
        this.sharing = new LimitSharing(
                table, members, transport, new MessagePackLimitCodec(), MessageTypes.LIMIT_SHARES, time, events);
    }

    /**
     * Applies the limits of a configuration.
     *
     * @param fileSet the file set of the configuration
     */
    public void configure(FileSet fileSet) {
        table.configure(fileSet);
    }

    /**
     * Returns the limiter that enforces the limits of workspaces.
     *
     * @return the limiter
     */
    public WorkspaceLimiter limiter() {
        return table;
    }

    /**
     * Starts to request shares of the limits from the other nodes at a fixed interval.
     *
     * @param vertx the Vert.x instance
     * @return the id of the periodic timer
     */
    public long start(Vertx vertx) {
        return vertx.setPeriodic(LimitSharing.PERIOD_MILLIS, timer -> decisions.execute(sharing::requestShares));
    }
}
