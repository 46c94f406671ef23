package io.lagoonseam.entry.configuration;

import java.util.List;

/** The result of applying a file set. */
public sealed interface ApplyResult permits ApplyResult.Applied, ApplyResult.Conflicted, ApplyResult.Failed {

    /**
     * The file set is current, or was until a later change.
     *
     * @param generation its number
     */
    record Applied(long generation) implements ApplyResult {}

    /**
     * Another change went first; nothing was applied.
     *
     * @param winner the manifest of that change
     * @param clashes the documents that both changes touch, by kind and name
     */
    record Conflicted(Manifest winner, List<String> clashes) implements ApplyResult {

        /** Copies the list. */
        public Conflicted {
            clashes = List.copyOf(clashes);
        }
    }

    /**
     * The platform did not take the change.
     *
     * @param reason why, in words
     * @param mayBeApplied whether the change may be current all the same
     */
    record Failed(String reason, boolean mayBeApplied) implements ApplyResult {}
}
