package io.lagoonseam.core.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** In-memory object store for tests that responds immediately. Outages and lost responses can be injected. */
public final class FakeObjectStore implements ObjectStore {

    private final TreeMap<String, ReadResult.Found> objects = new TreeMap<>();
    private long revision;
    private boolean outage;
    private int responsesToLose;
    private long writes;

    /**
     * Starts or ends an outage.
     *
     * @param value whether all calls are rejected
     */
    public synchronized void setOutage(boolean value) {
        outage = value;
    }

    /**
     * Loses the responses to the next writes that take effect.
     *
     * @param count the number of lost responses
     */
    public synchronized void loseAnswers(int count) {
        responsesToLose = count;
    }

    /**
     * Returns the number of write and delete calls.
     *
     * @return the number of calls, including rejected ones
     */
    public synchronized long writes() {
        return writes;
    }

    @Override
    public synchronized CompletionStage<ReadResult> read(String name) {
        if (outage) {
            return CompletableFuture.completedFuture(new ReadResult.Unavailable("outage"));
        }
        ReadResult.Found found = objects.get(name);
        return CompletableFuture.completedFuture(found == null ? new ReadResult.Absent() : found);
    }

    @Override
    public synchronized CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
        return change(name, value.clone(), condition);
    }

    @Override
    public synchronized CompletionStage<WriteResult> delete(String name, WriteCondition condition) {
        return change(name, null, condition);
    }

    private CompletionStage<WriteResult> change(String name, byte[] value, WriteCondition condition) {
        writes++;
        if (outage) {
            return CompletableFuture.completedFuture(new WriteResult.Unavailable("outage"));
        }
        if (value != null && value.length > VALUE_LIMIT_BYTES) {
            return CompletableFuture.completedFuture(new WriteResult.Unavailable("value exceeds the size limit"));
        }
        if (!isMet(objects.get(name), condition)) {
            return CompletableFuture.completedFuture(new WriteResult.Conflict());
        }
        revision++;
        if (value == null) {
            objects.remove(name);
        } else {
            objects.put(name, new ReadResult.Found(revision, value));
        }
        if (responsesToLose > 0) {
            responsesToLose--;
            return CompletableFuture.completedFuture(new WriteResult.Unknown("response lost"));
        }
        return CompletableFuture.completedFuture(new WriteResult.Written(revision));
    }

    private static boolean isMet(ReadResult.Found stored, WriteCondition condition) {
        if (condition instanceof WriteCondition.IfVersion ifVersion) {
            return stored != null && stored.version() == ifVersion.version();
        }
        return condition instanceof WriteCondition.Always || stored == null;
    }

    @Override
    public synchronized CompletionStage<ListResult> list(String prefix) {
        if (outage) {
            return CompletableFuture.completedFuture(new ListResult.Unavailable("outage"));
        }
        return CompletableFuture.completedFuture(new ListResult.Listed(revision, versionsAfter(prefix, 0)));
    }

    @Override
    public synchronized CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
        if (outage) {
            return CompletableFuture.completedFuture(new WatchResult.Unavailable("outage"));
        }
        return CompletableFuture.completedFuture(
                new WatchResult.Changed(revision, versionsAfter(prefix, afterRevision)));
    }

    private List<ObjectVersion> versionsAfter(String prefix, long after) {
        List<ObjectVersion> versions = new ArrayList<>();
        objects.forEach((name, found) -> {
            if (name.startsWith(prefix) && found.version() > after) {
                versions.add(new ObjectVersion(name, found.version(), false));
            }
        });
        return versions;
    }
}
