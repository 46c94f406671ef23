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

/** The limits that this node enforces and shares with the other nodes. */
public final class LimitLayer {

    private final WorkspaceLimitTable table = new WorkspaceLimitTable();
    private final LimitSharing sharing;
    private final Executor decisions;

    /**
     * Creates the limits of a node.
     *
     * @param members the live nodes
     * @param transport the way to them
     * @param decisions the threads that run decisions
     * @param time the clock
     * @param events the sink of numbered events
     */
    public LimitLayer(
            MemberDirectory members, PeerTransport transport, Executor decisions, TimeSource time, EventSink events) {
        this.decisions = decisions;
        this.sharing = new LimitSharing(
                table, members, transport, new MessagePackLimitCodec(), MessageTypes.LIMIT_SHARES, time, events);
    }

    /**
     * Puts the limits of a file set in force.
     *
     * @param fileSet the file set
     */
    public void configure(FileSet fileSet) {
        table.configure(fileSet);
    }

    /**
     * Returns what keeps workspaces within their limits.
     *
     * @return the limiter
     */
    public WorkspaceLimiter limiter() {
        return table;
    }

    /**
     * Begins to ask for shares.
     *
     * @param vertx the Vert.x instance
     * @return the timer that asks
     */
    public long start(Vertx vertx) {
        return vertx.setPeriodic(LimitSharing.PERIOD_MILLIS, timer -> decisions.execute(sharing::round));
    }
}
