package io.lagoonseam.entry.forward;

import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.entry.store.StoreRevision;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The objects of the workers' collection that name a worker to use, as a node holds them for the snapshots of its
 * peers, and the revision up to which it holds all changes. A listing may hold objects that are newer than its own
 * revision, and may be older than what is held; neither makes the held objects older or the revision higher than what
 * is complete. Not thread-safe.
 */
final class UpstreamObjects {

    private final Map<String, CollectionObject> objects = new HashMap<>();
    private long revision = -1;

    /** Returns the revision up to which all changes are held; -1 before the first listing. */
    long revision() {
        return revision;
    }

    /** Returns the objects held. */
    Collection<CollectionObject> objects() {
        return List.copyOf(objects.values());
    }

    /**
     * Applies a listing.
     *
     * @param listed all objects at its revision that name a worker, and perhaps newer ones
     * @param newestRevision the highest revision of all objects, also of those that name no worker
     * @param listingRevision the revision up to which the listing has all changes
     */
    void list(Collection<CollectionObject> listed, long newestRevision, long listingRevision) {
        Set<String> names = new HashSet<>();
        for (CollectionObject object : listed) {
            names.add(object.name());
            boolean removedSince =
                    !objects.containsKey(object.name()) && listingRevision < revision && object.revision() <= revision;
            if (!removedSince) {
                put(object);
            }
        }
        objects.values().removeIf(object -> !names.contains(object.name()) && object.revision() <= listingRevision);
        long startOfEra = StoreRevision.of(Math.max(0, StoreRevision.era(listingRevision)), 0);
        revision = Math.max(revision, Math.max(startOfEra, Math.min(newestRevision, listingRevision)));
    }

    /**
     * Applies an object that was created or changed, after all changes before it.
     *
     * @param object the object
     */
    void change(CollectionObject object) {
        revision = Math.max(revision, object.revision());
        put(object);
    }

    /**
     * Applies the removal of an object, after all changes before it.
     *
     * @param object the object that was removed
     * @param removalRevision the latest revision at which it may have been removed
     */
    void remove(CollectionObject object, long removalRevision) {
        revision = Math.max(revision, object.revision());
        CollectionObject held = objects.get(object.name());
        if (held != null && held.revision() <= removalRevision) {
            objects.remove(object.name());
        }
    }

    /**
     * Raises the revision to that of another node's snapshot, which has been listed.
     *
     * @param snapshotRevision the revision up to which the snapshot has all changes
     */
    void completeUpTo(long snapshotRevision) {
        revision = Math.max(revision, snapshotRevision);
    }

    private void put(CollectionObject object) {
        objects.merge(object.name(), object, (held, read) -> held.revision() > read.revision() ? held : read);
    }
}
