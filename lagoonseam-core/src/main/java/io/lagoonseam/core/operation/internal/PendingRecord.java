package io.lagoonseam.core.operation.internal;

import java.util.concurrent.CompletableFuture;

/**
 * A journal record that is not durable yet.
 *
 * @param content the journal record
 * @param durable completes when the record is durable, or exceptionally when this node no longer owns the shard
 */
record PendingRecord(JournalRecord content, CompletableFuture<Void> durable) {

    boolean isIntent() {
        return content instanceof JournalRecord.Intent;
    }
}
