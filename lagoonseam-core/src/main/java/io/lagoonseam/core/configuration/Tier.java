package io.lagoonseam.core.configuration;

import java.util.Locale;

/** The five service tiers, in descending order of priority. */
public enum Tier {
    /** Requests that are never shed or preempted for another tier. */
    URGENT,
    /** Interactive requests. */
    HIGH,
    /** Ordinary requests. */
    STANDARD,
    /** Requests that tolerate a wait of some seconds. */
    LOW,
    /** Requests that tolerate a wait of minutes. */
    BATCH;

    /**
     * Returns the name of the tier in files and metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the tier with a name used in files.
     *
     * @param label the name in lower case
     * @return the tier
     * @throws IllegalArgumentException if there is no such tier
     */
    public static Tier ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }
}
