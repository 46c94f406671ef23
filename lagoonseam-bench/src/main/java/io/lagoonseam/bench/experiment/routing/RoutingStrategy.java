package io.lagoonseam.bench.experiment.routing;

/** The compared routing strategies of many nodes that share workers. */
enum RoutingStrategy {
    /** Each node chooses the less loaded of two random workers by its own in-flight count and the load report. */
    TWO_CHOICES("two choices", false, false, false),
    /** Each worker's slots are leased to nodes by the worker's home node in proportion to their demand. */
    LEASES("leased shares", false, false, true),
    /** The score from load reports alone, without updates from other nodes. */
    SCORE("score, reports only", true, false, false),
    /** The score with in-flight sums that nodes exchange. */
    SCORE_WITH_SUMS("score, sums exchanged", true, true, false),
    /** The score among the workers at which the node holds an unused leased slot. */
    SCORE_IN_LEASES("score in leased shares", true, false, true);

    private final String label;
    private final boolean scored;
    private final boolean exchanging;
    private final boolean leased;

    RoutingStrategy(String label, boolean scored, boolean exchanging, boolean leased) {
        this.label = label;
        this.scored = scored;
        this.exchanging = exchanging;
        this.leased = leased;
    }

    String label() {
        return label;
    }

    boolean scored() {
        return scored;
    }

    boolean exchanging() {
        return exchanging;
    }

    boolean leased() {
        return leased;
    }
}
