package io.lagoonseam.core.quarantine;

import io.lagoonseam.core.hash.Rendezvous;

/**
 * What requests have in common that may crash workers.
 *
 * @param kind what it is
 * @param digest a hash of it, the same on all nodes
 */
public record Suspect(Kind kind, long digest) {

    /** The kinds of what requests have in common. */
    public enum Kind {
        /** A part of prompts that other prompts may hold too. */
        PROMPT_PART(4),
        /** A request that comes again: its host, path, caller and body. */
        REQUEST(3);

        private final int crashesToQuarantine;

        Kind(int crashesToQuarantine) {
            this.crashesToQuarantine = crashesToQuarantine;
        }

        /**
         * Returns how many workers have to crash without a whole answer since the first of them.
         *
         * @return the number of crashes
         */
        public int crashesToQuarantine() {
            return crashesToQuarantine;
        }
    }

    /**
     * Returns the suspect that stands for a part of prompts.
     *
     * @param id the id of the part
     * @return the suspect
     */
    public static Suspect promptPart(String id) {
        return new Suspect(Kind.PROMPT_PART, Rendezvous.hash(id));
    }

    /**
     * Returns the suspect that stands for a request and those that are equal to it.
     *
     * @param digest the digest of the request
     * @return the suspect
     */
    public static Suspect request(long digest) {
        return new Suspect(Kind.REQUEST, digest);
    }

    /**
     * Returns the name of the role of the nodes that count the crashes.
     *
     * @return a name that is different for each suspect
     */
    public String role() {
        return "crashes " + kind + " " + Long.toHexString(digest);
    }
}
