package io.lagoonseam.core.forward;

import io.lagoonseam.core.ratelimit.WorkerIncarnation;

/**
 * The record that a worker publishes about itself.
 *
 * @param id the id of the worker, which a restarted worker may keep
 * @param startMillis its start time, in Unix milliseconds; 0 if unknown
 * @param service the name of the service that it belongs to
 * @param softwareVersion the version of its software, empty if unknown
 * @param host its IP address
 * @param port its port
 * @param dataCentre its data centre
 * @param slots the maximum number of requests that it runs concurrently
 * @param leaving whether it has announced that it is leaving
 * @param revision the store revision of this record
 */
public record UpstreamRecord(
        String id,
        long startMillis,
        String service,
        String softwareVersion,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean leaving,
        long revision) {

    /**
     * Returns the lifetime of the worker that this record describes.
     *
     * @return its service, id and start time
     */
    public WorkerIncarnation incarnation() {
        return new WorkerIncarnation(service, id, startMillis);
    }

    /**
     * Returns whether two records describe the same incarnation.
     *
     * @param other another record
     * @return true if id, start time and address are equal
     */
    public boolean sameIncarnation(UpstreamRecord other) {
        return id.equals(other.id) && startMillis == other.startMillis && host.equals(other.host) && port == other.port;
    }
}
