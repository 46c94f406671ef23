package io.lagoonseam.bench.experiment.routing;

import io.lagoonseam.core.routing.PromptPrefix;

/** One request on its way through the model. */
final class ModelledRequest {

    private final int node;
    private final double arrivalMillis;
    private final PromptPrefix prefix;
    private final int tokens;
    private double firstTokenMillis;
    private double endMillis;
    private boolean hit;
    private int worker;

    ModelledRequest(int node, double arrivalMillis, PromptPrefix prefix, int tokens) {
        this.node = node;
        this.arrivalMillis = arrivalMillis;
        this.prefix = prefix;
        this.tokens = tokens;
    }

    int node() {
        return node;
    }

    PromptPrefix prefix() {
        return prefix;
    }

    int tokens() {
        return tokens;
    }

    int worker() {
        return worker;
    }

    void sentTo(int chosenWorker) {
        worker = chosenWorker;
    }

    void started(double firstTokenAtMillis, boolean prefixHit) {
        firstTokenMillis = firstTokenAtMillis - arrivalMillis;
        hit = prefixHit;
    }

    void endsAt(double millis) {
        endMillis = millis;
    }

    double endMillis() {
        return endMillis;
    }

    double firstTokenMillis() {
        return firstTokenMillis;
    }

    boolean hit() {
        return hit;
    }
}
