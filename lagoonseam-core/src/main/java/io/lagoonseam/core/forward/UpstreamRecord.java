package io.lagoonseam.core.forward;

/**
 * The record that a worker publishes about itself.
 *
 * @param id the id of this incarnation
 * @param bornMillis its start time, in Unix milliseconds; 0 if unknown
 * @param service the name of the service that it belongs to
 * @param host its IP address
 * @param port its port
 * @param dataCentre its data centre
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it has announced that it is leaving
 * @param revision the store revision of this record
 */
public record UpstreamRecord(
        String id,
        long bornMillis,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean leaving,
        long revision) {

    /**
     * Returns whether two records describe the same incarnation.
     *
     * @param other another record
     * @return true if id, start time and address are equal
     */
    public boolean sameIncarnation(UpstreamRecord other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && host.equals(other.host) && port == other.port;
    }
}
