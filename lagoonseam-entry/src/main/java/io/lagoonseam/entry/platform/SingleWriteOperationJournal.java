package io.lagoonseam.entry.platform;

import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.OperationJournal;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.lagoonseam.entry.configuration.KeyHash;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Stores each operation as one object in the platform, with one write for the intent and one for the outcome. */
public final class SingleWriteOperationJournal implements OperationJournal {

    private static final long RETRY_AFTER_MILLIS = 2_000;
    private static final BeginResult.Unavailable UNAVAILABLE = new BeginResult.Unavailable(RETRY_AFTER_MILLIS);

    private final ObjectStore store;

    /**
     * Creates a journal.
     *
     * @param store the store of the objects
     */
    public SingleWriteOperationJournal(ObjectStore store) {
        this.store = store;
    }

    private static String objectName(OperationKey key) {
        return "operations/" + KeyHash.digest(key.workspace() + '\n' + key.key());
    }

    @Override
    public CompletionStage<BeginResult> begin(BeginRequest request) {
        OperationKey key = request.key();
        String token = request.attemptId();
        JsonObject intent = new JsonObject()
                .put("requestDigest", key.requestDigest())
                .put("token", token)
                .put("state", "begun");
        return store.write(objectName(key), bytes(intent), new WriteCondition.IfAbsent())
                .thenCompose(result -> afterIntent(key, token, result));
    }

    private CompletionStage<BeginResult> afterIntent(OperationKey key, String token, WriteResult result) {
        if (result instanceof WriteResult.Written) {
            return CompletableFuture.completedFuture(new BeginResult.Started());
        }
        if (result instanceof WriteResult.Unavailable) {
            return CompletableFuture.completedFuture(UNAVAILABLE);
        }
        return store.read(objectName(key)).thenApply(read -> toBeginResult(key, token, read));
    }

    private static BeginResult toBeginResult(OperationKey key, String token, ReadResult read) {
        if (!(read instanceof ReadResult.Found found)) {
            return UNAVAILABLE;
        }
        JsonObject stored = new JsonObject(new String(found.value(), StandardCharsets.UTF_8));
        if (!stored.getString("requestDigest").equals(key.requestDigest())) {
            return new BeginResult.Mismatched();
        }
        if ("begun".equals(stored.getString("state"))
                && stored.getString("token").equals(token)) {
            return new BeginResult.Started();
        }
        if ("completed".equals(stored.getString("state"))) {
            return new BeginResult.Completed(new RecordedAnswer(
                    stored.getInteger("httpStatus"), stored.getString("contentType"), stored.getString("body")));
        }
        if ("ran".equals(stored.getString("state"))) {
            return new BeginResult.RanBefore();
        }
        return new BeginResult.InDoubt();
    }

    @Override
    public CompletionStage<Void> complete(OperationKey key, String attemptId, RecordedAnswer answer) {
        JsonObject outcome = new JsonObject()
                .put("requestDigest", key.requestDigest())
                .put("token", attemptId)
                .put("state", "completed")
                .put("httpStatus", answer.httpStatus())
                .put("contentType", answer.contentType())
                .put("body", answer.body());
        return store.write(objectName(key), bytes(outcome), new WriteCondition.Always())
                .thenApply(SingleWriteOperationJournal::requireWritten);
    }

    @Override
    public CompletionStage<Void> confirmRan(OperationKey key) {
        JsonObject outcome = new JsonObject()
                .put("requestDigest", key.requestDigest())
                .put("token", "")
                .put("state", "ran");
        return store.write(objectName(key), bytes(outcome), new WriteCondition.Always())
                .thenApply(SingleWriteOperationJournal::requireWritten);
    }

    @Override
    public void leaveInDoubt(OperationKey key, String attemptId) {
        // Nothing to write: duplicates find the stored intent and are in doubt.
    }

    @Override
    public CompletionStage<Void> withdraw(OperationKey key, String attemptId) {
        return store.delete(objectName(key), new WriteCondition.Always())
                .thenApply(SingleWriteOperationJournal::requireWritten);
    }

    private static Void requireWritten(WriteResult result) {
        if (!(result instanceof WriteResult.Written)) {
            throw new IllegalStateException("the platform did not confirm the write: " + result);
        }
        return null;
    }

    private static byte[] bytes(JsonObject value) {
        return value.encode().getBytes(StandardCharsets.UTF_8);
    }
}
