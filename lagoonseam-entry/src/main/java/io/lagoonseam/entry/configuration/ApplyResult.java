package io.lagoonseam.entry.configuration;

import java.util.List;

/** The result of an attempt to apply a file set. */
public sealed interface ApplyResult permits ApplyResult.Applied, ApplyResult.Conflicted, ApplyResult.Failed {

    /**
     * The file set was accepted. It is current, or was until a later change.
     *
     * @param generation its generation
     */
    record Applied(long generation) implements ApplyResult {}

    /**
     * Another change was accepted first; nothing was applied.
     *
     * @param winner the manifest of the accepted change
     * @param clashes the documents that both changes touch, each as kind and name
     */
    record Conflicted(Manifest winner, List<String> clashes) implements ApplyResult {

        /** Copies the list. */
        public Conflicted {
            clashes = List.copyOf(clashes);
        }
    }

    /**
     * The change could not be written, or its base generation does not exist.
     *
     * @param reason the cause, for operators
     * @param mayBeApplied whether the change may still have been accepted, because the outcome of a write is unknown
     */
    record Failed(String reason, boolean mayBeApplied) implements ApplyResult {}
}
