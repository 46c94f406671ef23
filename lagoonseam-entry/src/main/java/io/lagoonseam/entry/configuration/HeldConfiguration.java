package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.wire.ConfigurationMessages.Delta;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The generation that a node holds with all its parts, ready to be given to other nodes. Used by one thread at a time.
 */
final class HeldConfiguration {

    private static final int STEPS = 256;
    private static final int TEXTS_LIMIT_CHARS = 250_000;

    private final ActiveConfiguration active;
    private final EventSink events;
    private final Consumer<FileSet> listener;
    private final PartReader reader = new PartReader();
    private final Deque<Step> steps = new ArrayDeque<>();
    private Manifest manifest;
    private byte[] encodedManifest = {};
    private Listing listing = Listing.EMPTY;
    private Map<String, String> texts = Map.of();

    HeldConfiguration(ActiveConfiguration active, EventSink events, Consumer<FileSet> listener) {
        this.active = active;
        this.events = events;
        this.listener = listener;
    }

    private record Step(long from, Collection<String> names) {}

    long generation() {
        return manifest == null ? 0 : manifest.generation();
    }

    Listing listing() {
        return listing;
    }

    /** Returns the digests that a listing needs and that are neither held nor given. */
    Map<String, String> missing(Listing wanted, Map<String, String> given) {
        TreeMap<String, String> missing = new TreeMap<>(wanted.digests());
        missing.values().removeIf(digest -> texts.containsKey(digest) || given.containsKey(digest));
        return missing;
    }

    /**
     * Puts a generation in force unless a higher one is.
     *
     * @param next its manifest
     * @param nextListing its parts
     * @param given the content of parts that were not held
     * @param source where it came from, in words
     * @return whether it is now in force and was not before
     */
    boolean offer(Manifest next, Listing nextListing, Map<String, String> given, String source) {
        if (next.generation() <= generation()) {
            return false;
        }
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        checkContent(next, nextListing, given);
        Map<String, String> all = new HashMap<>();
        nextListing.digests().values().forEach(digest -> all.put(digest, text(digest, given)));
        if (all.containsValue(null)) {
            throw new IllegalStateException("a part of generation " + next.generation() + " is missing");
        }
        Optional<FileSet> fileSet = reader.read(nextListing, all, reporter);
        if (fileSet.isEmpty()) {
            events.record(EventCode.CONFIGURATION_UNREADABLE, next.generation() + ": " + reporter.errors());
            return false;
        }
        remember(nextListing);
        manifest = next;
        encodedManifest = next.encode();
        listing = nextListing;
        texts = all;
        putInForce(next, fileSet.get(), source);
        return true;
    }

    private String text(String digest, Map<String, String> given) {
        String held = texts.get(digest);
        return held == null ? given.get(digest) : held;
    }

    private static void checkContent(Manifest next, Listing nextListing, Map<String, String> given) {
        if (!nextListing.digest().equals(next.listingDigest())) {
            throw new IllegalStateException("the listing of generation " + next.generation() + " has another digest");
        }
        given.forEach((digest, text) -> {
            if (!KeyHash.digest(text).equals(digest)) {
                throw new IllegalStateException("a part has another digest than " + digest);
            }
        });
    }

    private void remember(Listing next) {
        TreeSet<String> names = new TreeSet<>();
        next.digests().forEach((name, digest) -> {
            if (!digest.equals(listing.digests().get(name))) {
                names.add(name);
            }
        });
        listing.digests().keySet().stream()
                .filter(name -> !next.digests().containsKey(name))
                .forEach(names::add);
        steps.addLast(new Step(generation(), names));
        if (steps.size() > STEPS) {
            steps.removeFirst();
        }
    }

    private void putInForce(Manifest next, FileSet fileSet, String source) {
        Generation generation =
                new Generation(next.generation(), next.author(), next.reason(), next.appliedAtMillis(), fileSet);
        if (active.offer(generation)) {
            events.record(
                    EventCode.CONFIGURATION_IN_FORCE,
                    "generation " + next.generation() + " by " + next.author() + " from " + source + ": "
                            + next.reason());
            listener.accept(fileSet);
        }
    }

    /** Returns what leads a node from its generation to this one. */
    Delta deltaFrom(long theirGeneration) {
        if (manifest == null || theirGeneration >= generation()) {
            return new Delta(generation(), encodedManifest, false, Map.of(), List.of(), Map.of());
        }
        boolean whole = steps.peekFirst().from() > theirGeneration || theirGeneration == 0;
        Map<String, String> changed = new TreeMap<>();
        List<String> removed = new ArrayList<>();
        if (whole) {
            changed.putAll(listing.digests());
        } else {
            collect(theirGeneration, changed, removed);
        }
        return new Delta(generation(), encodedManifest, whole, changed, removed, texts(changed.values()));
    }

    private void collect(long theirGeneration, Map<String, String> changed, List<String> removed) {
        // A step may begin before their generation; what it changed is then sent again, which does no harm.
        TreeSet<String> names = new TreeSet<>();
        Step[] all = steps.toArray(new Step[0]);
        for (int index = 0; index < all.length; index++) {
            long to = index + 1 < all.length ? all[index + 1].from() : generation();
            if (to > theirGeneration) {
                names.addAll(all[index].names());
            }
        }
        for (String name : names) {
            String digest = listing.digests().get(name);
            if (digest == null) {
                removed.add(name);
            } else {
                changed.put(name, digest);
            }
        }
    }

    /** Returns the content of as many of the parts as fit into one message. */
    Map<String, String> texts(Collection<String> digests) {
        Map<String, String> found = new HashMap<>();
        int chars = 0;
        for (String digest : digests) {
            String text = texts.get(digest);
            if (text != null && (found.isEmpty() || chars + text.length() <= TEXTS_LIMIT_CHARS)) {
                found.put(digest, text);
                chars += text.length();
            }
        }
        return found;
    }
}
