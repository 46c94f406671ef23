package io.lagoonseam.entry.store;

/**
 * Combines the era and the revision of the store into one number that never falls. The store gives out revisions again
 * after it has been restored from a copy, but its era then rises. In this project, a revision of the store is always
 * such a number, unless it is called a plain one.
 */
public final class StoreRevision {

    private static final int REVISION_BITS = 48;
    /** The highest plain revision. */
    public static final long MAX_PLAIN_REVISION = (1L << REVISION_BITS) - 1;

    /** The highest era; higher ones cannot be told apart from it. */
    public static final long MAX_ERA = (1L << (Long.SIZE - 1 - REVISION_BITS)) - 1;

    private StoreRevision() {}

    /**
     * Combines an era and a plain revision.
     *
     * @param era the era, at least 0 and at most {@link #MAX_ERA}
     * @param plainRevision the revision as the store gives it, at least 0 and below 2<sup>48</sup>
     * @return a number that is higher for a later era, and within an era for a higher revision
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public static long of(long era, long plainRevision) {
        if (era < 0 || era > MAX_ERA || plainRevision < 0 || plainRevision > MAX_PLAIN_REVISION) {
            throw new IllegalArgumentException("era " + era + " or revision " + plainRevision + " is out of range");
        }
        return era << REVISION_BITS | plainRevision;
    }

    /**
     * Returns the era of a revision.
     *
     * @param revision the revision; negative if none is known
     * @return the era, or -1 if none is known
     */
    public static long era(long revision) {
        return revision < 0 ? -1 : revision >>> REVISION_BITS;
    }

    /**
     * Returns the plain revision, as the store gives it.
     *
     * @param revision the revision, not negative
     * @return the plain revision
     */
    public static long plain(long revision) {
        return revision & MAX_PLAIN_REVISION;
    }
}
