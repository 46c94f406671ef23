package io.lagoonseam.core.platform;

/** Condition under which a write or deletion takes effect (compare-and-set). */
public sealed interface WriteCondition
        permits WriteCondition.IfVersion, WriteCondition.IfAbsent, WriteCondition.Always {

    /**
     * Requires that the object has a given version.
     *
     * @param version the expected version
     */
    record IfVersion(long version) implements WriteCondition {}

    /** Requires that the object does not exist. */
    record IfAbsent() implements WriteCondition {}

    /** Always holds. */
    record Always() implements WriteCondition {}
}
