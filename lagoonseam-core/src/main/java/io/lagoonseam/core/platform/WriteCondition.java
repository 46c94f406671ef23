package io.lagoonseam.core.platform;

/** What must hold for a write to take effect. */
public sealed interface WriteCondition
        permits WriteCondition.IfVersion, WriteCondition.IfAbsent, WriteCondition.Always {

    /**
     * The object has this version.
     *
     * @param version the version
     */
    record IfVersion(long version) implements WriteCondition {}

    /** There is no such object. */
    record IfAbsent() implements WriteCondition {}

    /** Nothing needs to hold. */
    record Always() implements WriteCondition {}
}
