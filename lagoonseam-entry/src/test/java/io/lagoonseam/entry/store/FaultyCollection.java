package io.lagoonseam.entry.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.entry.configuration.fleet.VirtualTime;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;

/** A collection of one object in a store that may fail, in virtual time. */
final class FaultyCollection implements CollectionStore {

    /** How long a call waits for an answer, in milliseconds, and a watch after its long poll has ended. */
    private static final long CALL_TIMEOUT_MILLIS = 1_200;

    private static final long WATCH_ANSWER_MILLIS = 900;

    private static final long ANSWER_MILLIS = 4;

    /** What the store does with calls. */
    enum Mode {
        /** It answers. */
        UP,
        /** It never answers the calls that it receives, and those that wait. */
        SILENT,
        /** It rejects new calls; watches that wait go on. */
        BUSY,
        /** It rejects new calls and breaks off those that wait. */
        RESET
    }

    private record Watch(Promise<StoreResult> promise, long revision) {}

    private final VirtualTime time;
    private final List<Watch> watches = new ArrayList<>();
    private Mode mode = Mode.UP;
    private long revision = 1;
    private int calls;

    FaultyCollection(VirtualTime time) {
        this.time = time;
    }

    void mode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            List<Watch> broken = List.copyOf(watches);
            watches.clear();
            broken.forEach(watch -> watch.promise().tryComplete(new StoreResult.Unavailable("reset")));
        }
        if (next == Mode.SILENT) {
            watches.clear();
        }
    }

    /** Makes all open connections silent; new ones work. */
    void silenceOpenConnections() {
        watches.clear();
    }

    long revision() {
        return revision;
    }

    int calls() {
        return calls;
    }

    /** Changes the object and answers the watches that wait. */
    void change() {
        revision++;
        List<Watch> answered = List.copyOf(watches);
        watches.clear();
        answered.forEach(
                watch -> time.schedule(ANSWER_MILLIS, () -> watch.promise().tryComplete(objects())));
    }

    private StoreResult.Objects objects() {
        return new StoreResult.Objects(revision, List.of(new CollectionObject("main", revision, false, null)));
    }

    private Future<StoreResult> begin(Promise<StoreResult> promise, long timeoutMillis, Runnable onUp) {
        calls++;
        time.schedule(timeoutMillis, () -> promise.tryComplete(new StoreResult.Unavailable("time-out", true)));
        if (mode == Mode.UP) {
            onUp.run();
        } else if (mode != Mode.SILENT) {
            time.schedule(ANSWER_MILLIS, () -> promise.tryComplete(new StoreResult.Unavailable("rejected")));
        }
        return promise.future();
    }

    @Override
    public Future<StoreResult> list(String collection, boolean mayBeStale) {
        Promise<StoreResult> promise = Promise.promise();
        return begin(
                promise, CALL_TIMEOUT_MILLIS, () -> time.schedule(ANSWER_MILLIS, () -> promise.tryComplete(objects())));
    }

    @Override
    public Future<StoreResult> watch(String collection, long since, long longPollTimeoutMillis) {
        Promise<StoreResult> promise = Promise.promise();
        return begin(promise, longPollTimeoutMillis + WATCH_ANSWER_MILLIS, () -> {
            if (since < revision) {
                time.schedule(ANSWER_MILLIS, () -> promise.tryComplete(objects()));
                return;
            }
            Watch watch = new Watch(promise, since);
            watches.add(watch);
            time.schedule(longPollTimeoutMillis, () -> {
                if (watches.remove(watch)) {
                    promise.tryComplete(new StoreResult.Objects(revision, List.of()));
                }
            });
        });
    }

    @Override
    public Future<StoreResult> put(String collection, String name, JsonNode content) {
        throw new UnsupportedOperationException("a follower does not write");
    }

    @Override
    public Future<StoreResult> read(String collection, String name, boolean mayBeStale) {
        throw new UnsupportedOperationException("not played");
    }

    @Override
    public Future<StoreResult> replace(String collection, String name, JsonNode content, long expectedRevision) {
        throw new UnsupportedOperationException("not played");
    }

    @Override
    public Future<StoreResult> remove(String collection, String name) {
        throw new UnsupportedOperationException("a follower does not write");
    }
}
