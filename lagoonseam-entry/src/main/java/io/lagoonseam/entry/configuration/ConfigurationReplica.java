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
 * Holds the current generation of a node with all its parts, and computes the deltas that other nodes pull. Not safe
 * for concurrent use.
 */
final class ConfigurationReplica {

    /**
     * Maximum number of recent transitions from which deltas are computed; a node that is further behind receives the
     * full listing.
     */
    private static final int MAX_TRANSITIONS = 256;
    /** Limit of the part contents in one message, in characters; a single part may exceed it. */
    private static final int MAX_TEXT_CHARS = 250_000;

    private final ActiveConfiguration active;
    private final EventSink events;
    private final Consumer<FileSet> listener;
    private final PartReader reader = new PartReader();
    private final Deque<Transition> transitions = new ArrayDeque<>();
    private Manifest manifest;
    private byte[] encodedManifest = {};
    private Listing listing = Listing.EMPTY;
    private Map<String, String> texts = Map.of();

    ConfigurationReplica(ActiveConfiguration active, EventSink events, Consumer<FileSet> listener) {
        this.active = active;
        this.events = events;
        this.listener = listener;
    }

    /**
     * A transition of this node to a later generation: the previous generation, and the names of the parts that were
     * added, changed or removed.
     */
    private record Transition(long previousGeneration, Collection<String> names) {}

    long generation() {
        return manifest == null ? 0 : manifest.generation();
    }

    Listing listing() {
        return listing;
    }

    /** Returns the parts of a listing, digest by name, whose content is neither held here nor received. */
    Map<String, String> missingTexts(Listing wanted, Map<String, String> received) {
        TreeMap<String, String> missing = new TreeMap<>(wanted.digests());
        missing.values().removeIf(digest -> texts.containsKey(digest) || received.containsKey(digest));
        return missing;
    }

    /**
     * Puts a generation in force unless the one held here is the same or higher, or its parts are invalid.
     *
     * @param next its manifest
     * @param nextListing the listing of its parts
     * @param received the content of the parts that were not held here, by digest
     * @param source the origin of the generation, for the log
     * @return whether this call put the generation in force
     * @throws IllegalStateException if a part is missing or a digest does not match
     */
    boolean offer(Manifest next, Listing nextListing, Map<String, String> received, String source) {
        if (next.generation() <= generation()) {
            return false;
        }
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        verifyDigests(next, nextListing, received);
        Map<String, String> all = new HashMap<>();
        nextListing.digests().values().forEach(digest -> all.put(digest, text(digest, received)));
        if (all.containsValue(null)) {
            throw new IllegalStateException("the content of a part of generation " + next.generation() + " is missing");
        }
        Optional<FileSet> fileSet = reader.read(nextListing, all, reporter);
        if (fileSet.isEmpty()) {
            events.record(EventCode.CONFIGURATION_UNREADABLE, next.generation() + ": " + reporter.errors());
            return false;
        }
        recordTransition(nextListing);
        manifest = next;
        encodedManifest = next.encode();
        listing = nextListing;
        texts = all;
        putInForce(next, fileSet.get(), source);
        return true;
    }

    private String text(String digest, Map<String, String> received) {
        String heldText = texts.get(digest);
        return heldText == null ? received.get(digest) : heldText;
    }

    private static void verifyDigests(Manifest next, Listing nextListing, Map<String, String> received) {
        if (!nextListing.digest().equals(next.listingDigest())) {
            throw new IllegalStateException(
                    "the listing of generation " + next.generation() + " does not match the digest in its manifest");
        }
        received.forEach((digest, text) -> {
            if (!KeyHash.digest(text).equals(digest)) {
                throw new IllegalStateException("the content of a part does not match its digest " + digest);
            }
        });
    }

    private void recordTransition(Listing next) {
        TreeSet<String> names = new TreeSet<>();
        next.digests().forEach((name, digest) -> {
            if (!digest.equals(listing.digests().get(name))) {
                names.add(name);
            }
        });
        listing.digests().keySet().stream()
                .filter(name -> !next.digests().containsKey(name))
                .forEach(names::add);
        transitions.addLast(new Transition(generation(), names));
        if (transitions.size() > MAX_TRANSITIONS) {
            transitions.removeFirst();
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

    /**
     * Returns the delta that takes another node from its generation to the one held here; it is empty if that node is
     * not behind.
     */
    Delta deltaFrom(long peerGeneration) {
        if (manifest == null || peerGeneration >= generation()) {
            return new Delta(generation(), encodedManifest, false, Map.of(), List.of(), Map.of());
        }
        boolean full = transitions.peekFirst().previousGeneration() > peerGeneration || peerGeneration == 0;
        Map<String, String> changed = new TreeMap<>();
        List<String> removed = new ArrayList<>();
        if (full) {
            changed.putAll(listing.digests());
        } else {
            collectChanges(peerGeneration, changed, removed);
        }
        return new Delta(generation(), encodedManifest, full, changed, removed, texts(changed.values()));
    }

    private void collectChanges(long peerGeneration, Map<String, String> changed, List<String> removed) {
        // The generation before a transition may be lower than the other node's generation. Parts that the node already
        // has are then sent again, which is harmless.
        TreeSet<String> names = new TreeSet<>();
        Transition[] all = transitions.toArray(new Transition[0]);
        for (int index = 0; index < all.length; index++) {
            long to = index + 1 < all.length ? all[index + 1].previousGeneration() : generation();
            if (to > peerGeneration) {
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

    /** Returns the content of as many of the parts as fit into one message, by digest. */
    Map<String, String> texts(Collection<String> digests) {
        Map<String, String> found = new HashMap<>();
        int chars = 0;
        for (String digest : digests) {
            String text = texts.get(digest);
            if (text != null && (found.isEmpty() || chars + text.length() <= MAX_TEXT_CHARS)) {
                found.put(digest, text);
                chars += text.length();
            }
        }
        return found;
    }
}
