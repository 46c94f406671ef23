package io.lagoonseam.entry.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Describes an accepted change. The object {@code configuration/manifest} holds the manifest of the current change. The
 * parts of the change's generation are computed by applying the changes after a checkpoint to the checkpoint's listing.
 *
 * @param generation the generation that the change created
 * @param author who applied it
 * @param reason why it was applied
 * @param appliedAtMillis when it was applied, in milliseconds since the epoch; never before the preceding change
 * @param id the id that the writer gave to the change, which shows whether a write whose response was lost took effect
 * @param checkpoint the listing of all parts of an earlier generation, or of this one
 * @param changesSince the ids of the changes after the checkpoint, this one last
 * @param listingDigest the digest of the resulting listing
 * @param ancestors skip links to earlier changes, nearest first
 */
public record Manifest(
        long generation,
        String author,
        String reason,
        long appliedAtMillis,
        String id,
        Checkpoint checkpoint,
        List<String> changesSince,
        String listingDigest,
        List<ChangeLink> ancestors) {

    private static final int ANCESTOR_LEVELS = 7;
    private static final long LEVEL_FACTOR = 8;

    /** Copies the lists. */
    public Manifest {
        changesSince = List.copyOf(changesSince);
        ancestors = List.copyOf(ancestors);
    }

    /**
     * A generation with a complete stored listing of its parts.
     *
     * @param generation the generation
     * @param digest the digest of the listing, which names its object on the platform
     */
    public record Checkpoint(long generation, String digest) {}

    /**
     * A link to an accepted change.
     *
     * @param generation its generation
     * @param id its id
     * @param appliedAtMillis when it was applied, in milliseconds since the epoch
     */
    public record ChangeLink(long generation, String id, long appliedAtMillis) {}

    /**
     * Returns the link to this change.
     *
     * @return the link
     */
    public ChangeLink link() {
        return new ChangeLink(generation, id, appliedAtMillis);
    }

    /**
     * Returns the ancestors of the change that follows this one: this change, and for each level the last change whose
     * generation is a multiple of the level's step.
     *
     * @return links, nearest first
     */
    List<ChangeLink> ancestorsOfNext() {
        List<ChangeLink> next = new ArrayList<>();
        next.add(link());
        long step = LEVEL_FACTOR;
        for (int level = 1; level < ANCESTOR_LEVELS; level++) {
            long multiple = generation / step * step;
            linkTo(multiple).filter(link -> !next.contains(link)).ifPresent(next::add);
            step *= LEVEL_FACTOR;
        }
        return next;
    }

    private Optional<ChangeLink> linkTo(long number) {
        if (number == generation) {
            return Optional.of(link());
        }
        return ancestors.stream().filter(link -> link.generation() == number).findFirst();
    }

    /**
     * Returns the ancestor from which to continue a walk back to a generation.
     *
     * @param number the generation sought, below this one
     * @return the ancestor with the lowest generation that is not below the one sought
     */
    ChangeLink ancestorTowards(long number) {
        ChangeLink closest = ancestors.get(0);
        for (ChangeLink link : ancestors) {
            if (link.generation() >= number && link.generation() < closest.generation()) {
                closest = link;
            }
        }
        return closest;
    }

    /**
     * Returns the ancestor from which to continue the search for the change that was current at a moment.
     *
     * @param atMillis the moment, before this change, in milliseconds since the epoch
     * @return the earliest ancestor after the moment, or the nearest one if none is after it
     */
    ChangeLink ancestorTowardsTime(long atMillis) {
        ChangeLink closest = ancestors.get(0);
        for (ChangeLink link : ancestors) {
            if (link.appliedAtMillis() > atMillis && link.generation() < closest.generation()) {
                closest = link;
            }
        }
        return closest;
    }

    /**
     * Parses a manifest.
     *
     * @param value the manifest as JSON
     * @return the manifest
     */
    public static Manifest parse(byte[] value) {
        return ConfigurationJson.read(value, Manifest.class);
    }

    /**
     * Encodes the manifest.
     *
     * @return the manifest as JSON
     */
    public byte[] encode() {
        return ConfigurationJson.write(this);
    }
}
