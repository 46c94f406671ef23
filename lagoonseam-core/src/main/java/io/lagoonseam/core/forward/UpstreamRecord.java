package io.lagoonseam.core.forward;

/**
 * What a worker says of itself.
 *
 * @param id the name of this incarnation
 * @param bornMillis when it started, Unix time; 0 if it does not say
 * @param service the service that it belongs to
 * @param host its IP number
 * @param port its port
 * @param dataCentre where it is
 * @param slots the requests that it runs at the same time
 * @param leaving whether it has announced that it leaves
 * @param revision the store's revision of this record
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
     * Returns whether two records are of one incarnation.
     *
     * @param other another record
     * @return true if id, start and address are the same
     */
    public boolean sameIncarnation(UpstreamRecord other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && host.equals(other.host) && port == other.port;
    }
}
