package io.lagoonseam.core.operation.internal;

import java.util.concurrent.CompletableFuture;

/**
 * A record that is not durable yet.
 *
 * @param content the record
 * @param durable completes when it is durable, or exceptionally when this owner cannot make it so any more
 */
record PendingRecord(JournalRecord content, CompletableFuture<Void> durable) {

    boolean isIntent() {
        return content instanceof JournalRecord.Intent;
    }
}
