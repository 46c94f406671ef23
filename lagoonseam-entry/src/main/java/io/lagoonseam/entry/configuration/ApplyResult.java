package io.lagoonseam.entry.configuration;

/** The result of applying a file set. */
public sealed interface ApplyResult permits ApplyResult.Applied, ApplyResult.Conflicted, ApplyResult.Failed {

    /**
     * The file set is current.
     *
     * @param generation its number
     */
    record Applied(long generation) implements ApplyResult {}

    /**
     * Another change went first; nothing was applied.
     *
     * @param winner the manifest of that change
     */
    record Conflicted(Manifest winner) implements ApplyResult {}

    /**
     * The platform did not take the change.
     *
     * @param reason why, in words
     * @param mayBeApplied whether the change may be current all the same
     */
    record Failed(String reason, boolean mayBeApplied) implements ApplyResult {}
}
