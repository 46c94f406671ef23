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

/** Creates the operation journal of an entry node. */
public final class NodeJournal {

    /** How long answers are kept if the configuration states no retention, in milliseconds: one day. */
    private static final long DEFAULT_RETENTION_MILLIS = 86_400_000;
    /** The largest answer that is kept whole if the configuration states no retention, in bytes. */
    private static final int DEFAULT_ANSWER_MAX_BYTES = 16_000;

    private NodeJournal() {}

    /**
     * Creates a journal that uses the retention with the longest time in the configuration in force. Without a
     * retention, answers of up to 16,000 bytes are kept for one day.
     *
     * @param vertx runs the delayed tasks of the journal
     * @param store the object store of the platform
     * @param peers the connections to the other nodes
     * @param configuration the configuration in force
     * @param invariants the invariant checks at run time
     * @return the journal
     */
    public static ShardedOperationJournal create(
            Vertx vertx,
            ObjectStore store,
            PeerLayer peers,
            ActiveConfiguration configuration,
            InvariantMonitor invariants) {
        JournalOptions options = JournalOptions.standard(
                () -> longestRetention(configuration)
                        .map(Retention::answersMillis)
                        .orElse(DEFAULT_RETENTION_MILLIS),
                () -> longestRetention(configuration)
                        .map(Retention::answerMaxBytes)
                        .orElse(DEFAULT_ANSWER_MAX_BYTES));
        JournalShard.Environment environment = new JournalShard.Environment(
                store,
                new SystemTimeSource(),
                (delayMillis, task) -> vertx.setTimer(Math.max(1, delayMillis), timer -> task.run()),
                new SecureRandom(),
                invariants,
                options);
        ShardedOperationJournal journal =
                new ShardedOperationJournal(peers.members(), new PeerOwnerClient(peers), environment);
        PeerOwnerClient.registerHandler(peers, journal);
        return journal;
    }

    private static Optional<Retention> longestRetention(ActiveConfiguration configuration) {
        return configuration
                .current()
                .flatMap(generation -> generation.fileSet().retentions().values().stream()
                        .max(Comparator.comparingLong(Retention::answersMillis)));
    }
}
