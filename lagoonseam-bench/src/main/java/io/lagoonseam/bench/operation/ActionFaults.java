package io.lagoonseam.bench.operation;

/**
 * Faults between callers, sending nodes and the upstream. Shares are from 0 to 1.
 *
 * @param duplicateShare the share of attempts after which the caller sends the same action again, through a random node
 * @param connectFailureShare the share of attempts that fail to connect and send nothing
 * @param dropBeforeShare the share of sent requests that the upstream never runs
 * @param dropAfterShare the share of requests that run and whose answer is lost
 */
public record ActionFaults(
        double duplicateShare, double connectFailureShare, double dropBeforeShare, double dropAfterShare) {

    /** Callers retry 30 % of the attempts; there are no other faults. */
    public static final ActionFaults DUPLICATES_ONLY = new ActionFaults(0.3, 0, 0, 0);

    /** Callers retry 50 % of the attempts; each other fault affects 3 %. */
    public static final ActionFaults ALL = new ActionFaults(0.5, 0.03, 0.03, 0.03);
}
