package io.lagoonseam.bench.operation;

/**
 * What goes wrong between a sender and its upstream.
 *
 * @param duplicateShare the share of actions that the caller sends again through any node
 * @param connectFailureShare the share of attempts that send nothing
 * @param dropBeforeShare the share of requests that are sent and never run
 * @param dropAfterShare the share of requests whose answer is lost
 */
public record ActionFaults(
        double duplicateShare, double connectFailureShare, double dropBeforeShare, double dropAfterShare) {

    /** Callers send again and nothing else goes wrong. */
    public static final ActionFaults DUPLICATES_ONLY = new ActionFaults(0.3, 0, 0, 0);

    /** Everything goes wrong now and then. */
    public static final ActionFaults ALL = new ActionFaults(0.5, 0.03, 0.03, 0.03);
}
