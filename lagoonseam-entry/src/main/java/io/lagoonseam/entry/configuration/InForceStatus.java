package io.lagoonseam.entry.configuration;

import java.util.List;

/**
 * What a data centre's relay says of the generations in force there. It is kept on the platform.
 *
 * @param dataCentre the data centre
 * @param generation the lowest generation in force at any member that reports
 * @param members the number of live members
 * @param missing the members that did not report lately
 * @param relay the node that wrote this
 * @param atMillis when, in milliseconds since the epoch
 */
public record InForceStatus(
        String dataCentre, long generation, int members, List<String> missing, String relay, long atMillis) {

    /** The prefix of the objects that hold such a status. */
    public static final String PREFIX = "configuration/in-force/";

    /** Copies the list. */
    public InForceStatus {
        missing = List.copyOf(missing);
    }

    /**
     * Returns whether a generation, or a later one, is in force at every member.
     *
     * @param wanted the generation
     * @return true if it is
     */
    public boolean confirms(long wanted) {
        return generation >= wanted && missing.isEmpty();
    }

    /**
     * Reads a status.
     *
     * @param value its JSON
     * @return the status
     */
    public static InForceStatus parse(byte[] value) {
        return ConfigurationJson.read(value, InForceStatus.class);
    }

    /**
     * Writes the status.
     *
     * @return its JSON
     */
    public byte[] encode() {
        return ConfigurationJson.write(this);
    }
}
