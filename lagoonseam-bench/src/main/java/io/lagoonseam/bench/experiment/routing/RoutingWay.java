package io.lagoonseam.bench.experiment.routing;

/** A way of routing over many nodes. */
enum RoutingWay {
    /** Each node on its own: the less loaded of two workers by its own count and the load report. */
    TWO_CHOICES("two choices", false, false, false),
    /** A share of each worker's capacity, leased to nodes by the worker's home node in proportion to their demand. */
    LEASES("leased shares", false, false, true),
    /** The score without any word from other nodes. */
    SCORE("score, reports only", true, false, false),
    /** The score with in-flight sums exchanged between nodes. */
    SCORE_WITH_SUMS("score, sums exchanged", true, true, false),
    /** The score among the workers of which this node holds an unused leased slot. */
    SCORE_IN_LEASES("score in leased shares", true, false, true);

    private final String label;
    private final boolean scored;
    private final boolean exchanging;
    private final boolean leased;

    RoutingWay(String label, boolean scored, boolean exchanging, boolean leased) {
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
