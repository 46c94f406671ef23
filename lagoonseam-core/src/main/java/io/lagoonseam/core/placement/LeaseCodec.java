package io.lagoonseam.core.placement;

/** Turns leases into values of the platform and back. */
public interface LeaseCodec {

    /**
     * Encodes a lease.
     *
     * @param lease the lease
     * @return the value
     */
    byte[] encode(LeaseRecord lease);

    /**
     * Decodes a lease.
     *
     * @param value the value
     * @return the lease
     */
    LeaseRecord decode(byte[] value);
}
