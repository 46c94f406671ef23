package io.lagoonseam.entry.platform;

import io.lagoonseam.core.configuration.Retention;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.operation.JournalOptions;
import io.lagoonseam.core.operation.ShardedOperationJournal;
import io.lagoonseam.core.operation.internal.JournalShard;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.entry.configuration.ActiveConfiguration;
import io.lagoonseam.entry.peer.PeerLayer;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.Comparator;
import java.util.Optional;

/** Creates the journal of an entry node. */
public final class NodeJournal {

    private static final long RETENTION_MILLIS = 86_400_000;
    private static final int ANSWER_MAX_BYTES = 16_000;

    private NodeJournal() {}

    /**
     * Creates a journal whose retention follows the configuration in force.
     *
     * @param vertx runs what is to come later
     * @param store the platform
     * @param peers the other nodes
     * @param configuration what is in force
     * @param invariants the checks at run time
     * @return the journal
     */
    public static ShardedOperationJournal create(
            Vertx vertx,
            ObjectStore store,
            PeerLayer peers,
            ActiveConfiguration configuration,
            InvariantMonitor invariants) {
        JournalOptions options = JournalOptions.standard(
                () -> longest(configuration).map(Retention::answersMillis).orElse(RETENTION_MILLIS),
                () -> longest(configuration).map(Retention::answerMaxBytes).orElse(ANSWER_MAX_BYTES));
        JournalShard.Environment environment = new JournalShard.Environment(
                store,
                new SystemTimeSource(),
                (delayMillis, task) -> vertx.setTimer(Math.max(1, delayMillis), timer -> task.run()),
                new SecureRandom(),
                invariants,
                options);
        ShardedOperationJournal journal =
                new ShardedOperationJournal(peers.members(), new PeerOwnerClient(peers), environment);
        PeerOwnerClient.serve(peers, journal);
        return journal;
    }

    private static Optional<Retention> longest(ActiveConfiguration configuration) {
        return configuration
                .current()
                .flatMap(generation -> generation.fileSet().retentions().values().stream()
                        .max(Comparator.comparingLong(Retention::answersMillis)));
    }
}
