package io.lagoonseam.entry.configuration;

import java.util.List;

/**
 * The generation in force in a data centre, as summarized by a relay and stored on the platform.
 *
 * @param dataCentre the name of the data centre
 * @param generation the lowest generation in force at the members that reported recently, 0 if none did
 * @param members the number of live members
 * @param missing the node ids of live members without a recent report
 * @param relay the id of the node that wrote the status
 * @param atMillis the time of writing, in milliseconds since the epoch
 */
public record InForceStatus(
        String dataCentre, long generation, int members, List<String> missing, String relay, long atMillis) {

    /** The prefix of the names of the objects that hold the status of a data centre. */
    public static final String PREFIX = "configuration/in-force/";

    /** Copies the list. */
    public InForceStatus {
        missing = List.copyOf(missing);
    }

    /**
     * Returns whether a generation, or a later one, is in force at every live member.
     *
     * @param wanted the generation
     * @return true if it is in force everywhere
     */
    public boolean confirms(long wanted) {
        return generation >= wanted && missing.isEmpty();
    }

    /**
     * Parses a status.
     *
     * @param value the status as JSON
     * @return the status
     */
    public static InForceStatus parse(byte[] value) {
        return ConfigurationJson.read(value, InForceStatus.class);
    }

    /**
     * Encodes the status.
     *
     * @return the status as JSON
     */
    public byte[] encode() {
        return ConfigurationJson.write(this);
    }
}
