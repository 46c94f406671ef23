package io.lagoonseam.entry.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Says which accepted change is current. The parts follow from a checkpoint and the changes since it.
 *
 * @param generation the number of the change
 * @param author who applied it
 * @param reason why
 * @param appliedAtMillis when, in milliseconds since the epoch; never before the change it follows
 * @param id the writer's own name of the change, by which a lost answer is settled
 * @param checkpoint where all parts of an earlier generation, or of this one, are listed
 * @param changesSince the ids of the changes after the checkpoint, this one last
 * @param listingDigest the digest of the listing that results
 * @param ancestors links back to earlier changes, nearest first
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

    private static final int LEVELS = 7;
    private static final long LEVEL_FACTOR = 8;

    /** Copies the lists. */
    public Manifest {
        changesSince = List.copyOf(changesSince);
        ancestors = List.copyOf(ancestors);
    }

    /**
     * A generation whose parts are listed whole.
     *
     * @param generation the generation
     * @param digest the digest that names the listing's object
     */
    public record Checkpoint(long generation, String digest) {}

    /**
     * A link to an accepted change.
     *
     * @param generation its generation
     * @param id its id
     * @param appliedAtMillis when it was applied
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
        for (int level = 1; level < LEVELS; level++) {
            long multiple = generation / step * step;
            findLink(multiple).filter(link -> !next.contains(link)).ifPresent(next::add);
            step *= LEVEL_FACTOR;
        }
        return next;
    }

    private Optional<ChangeLink> findLink(long number) {
        if (number == generation) {
            return Optional.of(link());
        }
        return ancestors.stream().filter(link -> link.generation() == number).findFirst();
    }

    /**
     * Returns the nearest ancestor that is not after a generation and can lead to it, for a walk back.
     *
     * @param number the generation sought, below this one
     * @return the ancestor with the lowest generation that is not below the one sought
     */
    ChangeLink towards(long number) {
        ChangeLink best = ancestors.get(0);
        for (ChangeLink link : ancestors) {
            if (link.generation() >= number && link.generation() < best.generation()) {
                best = link;
            }
        }
        return best;
    }

    /**
     * Returns the ancestor to go to in search of the change in force at a moment before this change.
     *
     * @param atMillis the moment
     * @return the earliest ancestor after the moment, or the nearest one if none is after it
     */
    ChangeLink towardsTime(long atMillis) {
        ChangeLink best = ancestors.get(0);
        for (ChangeLink link : ancestors) {
            if (link.appliedAtMillis() > atMillis && link.generation() < best.generation()) {
                best = link;
            }
        }
        return best;
    }

    /**
     * Reads a manifest.
     *
     * @param value its JSON
     * @return the manifest
     */
    public static Manifest parse(byte[] value) {
        return ConfigurationJson.read(value, Manifest.class);
    }

    /**
     * Writes the manifest.
     *
     * @return its JSON
     */
    public byte[] encode() {
        return ConfigurationJson.write(this);
    }
}
