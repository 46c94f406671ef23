package io.lagoonseam.entry.store;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;

/**
 * Follows a collection: a listing, then watches from its revision, and a new listing where the history is gone. All of
 * it runs on one event loop.
 */
public final class CollectionFollower {

    /**
     * The longest wait of a watch, in milliseconds. A watch that went silent is noticed when it is over, so it is short
     * against the time in which a change has to be in force after a connection was lost.
     */
    public static final long PROMPT_WATCH_MILLIS = 4_000;

    /** The longest wait where a late change does no harm, in milliseconds: what the store allows at the most. */
    public static final long PATIENT_WATCH_MILLIS = 25_000;

    /** The pause after the first failed call, in milliseconds: about ten answers of a healthy store. */
    private static final long FIRST_PAUSE_MILLIS = 40;

    /** The longest pause between calls before the first listing, in milliseconds: callers are refused meanwhile. */
    private static final long FIRST_LISTING_PAUSE_MILLIS = 250;

    /** The longest pause between calls later, in milliseconds: what is known stays in force, and peers tell news. */
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    /**
     * After how long the first listing is asked for once more, in milliseconds, although a call is on its way: a store
     * that was silent never answers what it got before, and a healthy one answers within some milliseconds.
     */
    private static final long ASK_AGAIN_MILLIS = 300;

    /** The calls for the first listing that may be on their way at the same time. */
    private static final int LISTINGS_AT_ONCE = 5;

    private final Vertx vertx;
    private final CollectionStore store;
    private final String collection;
    private final Listener listener;
    private final Random random;
    private final LongSupplier watchMillis;
    private long revision = -1;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private int listings;

    /** Hears what is in the collection. */
    public interface Listener {

        /**
         * The whole collection.
         *
         * @param objects all objects
         * @param revision the revision of the listing
         */
        void listed(List<StoredObject> objects, long revision);

        /**
         * An object was created, changed or removed.
         *
         * @param object the object
         * @param revision the store's revision after it
         */
        void changed(StoredObject object, long revision);

        /**
         * A call failed.
         *
         * @param reason why, in words
         */
        void failed(String reason);

        /** A call was answered. */
        void answered();
    }

    /**
     * Creates a follower that is not started.
     *
     * @param vertx the event loop's Vert.x
     * @param store the store
     * @param collection the collection
     * @param listener hears what is in it
     * @param random spreads the calls of several nodes
     * @param watchMillis the longest wait of each new watch, in milliseconds
     */
    public CollectionFollower(
            Vertx vertx,
            CollectionStore store,
            String collection,
            Listener listener,
            Random random,
            LongSupplier watchMillis) {
        this.vertx = vertx;
        this.store = store;
        this.collection = collection;
        this.listener = listener;
        this.random = random;
        this.watchMillis = watchMillis;
    }

    /** Starts to follow. */
    public void start() {
        list();
    }

    private boolean listed() {
        return revision >= 0;
    }

    private void list() {
        listings++;
        boolean first = !listed();
        store.list(collection).onSuccess(result -> onListed(result, first));
        if (first) {
            vertx.setTimer(ASK_AGAIN_MILLIS, timer -> {
                if (!listed() && listings > 0 && listings < LISTINGS_AT_ONCE) {
                    list();
                }
            });
        }
    }

    private void onListed(StoreResult result, boolean first) {
        listings--;
        if (first && listed()) {
            return;
        }
        if (result instanceof StoreResult.Objects listing) {
            answered();
            revision = listing.revision();
            listener.listed(listing.objects(), listing.revision());
            watch();
        } else if (listings == 0) {
            pause(String.valueOf(result), this::list);
        }
    }

    private void watch() {
        store.watch(collection, revision, watchMillis.getAsLong()).onSuccess(this::onChanged);
    }

    private void onChanged(StoreResult result) {
        if (result instanceof StoreResult.Objects changes) {
            answered();
            revision = Math.max(revision, changes.revision());
            changes.objects().forEach(object -> listener.changed(object, changes.revision()));
            watch();
        } else if (result instanceof StoreResult.HistoryGone) {
            list();
        } else {
            pause(String.valueOf(result), this::list);
        }
    }

    private void answered() {
        pauseMillis = FIRST_PAUSE_MILLIS;
        listener.answered();
    }

    private void pause(String reason, Runnable next) {
        listener.failed(reason);
        long millis = Math.round(pauseMillis * (0.5 + random.nextDouble()));
        pauseMillis = Math.min(2 * pauseMillis, listed() ? LONGEST_PAUSE_MILLIS : FIRST_LISTING_PAUSE_MILLIS);
        vertx.setTimer(Math.max(1, millis), timer -> next.run());
    }
}
