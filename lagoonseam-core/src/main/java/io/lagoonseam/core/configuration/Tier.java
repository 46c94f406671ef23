package io.lagoonseam.core.configuration;

import java.util.Locale;

/** The five service tiers, most urgent first. */
public enum Tier {
    /** Never shed or preempted for another tier. */
    URGENT,
    /** Interactive work. */
    HIGH,
    /** Ordinary work. */
    STANDARD,
    /** Work that can wait some seconds. */
    LOW,
    /** Work that can wait minutes. */
    BATCH;

    /**
     * Returns the name used in files and metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a tier by its name in files.
     *
     * @param label the name in lower case
     * @return the tier
     * @throws IllegalArgumentException if there is none
     */
    public static Tier ofLabel(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT));
    }
}
