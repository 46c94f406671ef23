package io.lagoonseam.bench.experiment.routing;

import io.lagoonseam.core.routing.PromptPrefix;

/** A simulated request with its times in virtual milliseconds. */
final class ModelledRequest {

    private final int node;
    private final double arrivalMillis;
    private final PromptPrefix prefix;
    private final int tokens;
    private double firstTokenMillis;
    private double endMillis;
    private boolean prefixHit;
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

    void assignWorker(int chosenWorker) {
        worker = chosenWorker;
    }

    void recordStart(double firstTokenAtMillis, boolean cached) {
        firstTokenMillis = firstTokenAtMillis - arrivalMillis;
        prefixHit = cached;
    }

    void setEndMillis(double millis) {
        endMillis = millis;
    }

    double endMillis() {
        return endMillis;
    }

    double firstTokenMillis() {
        return firstTokenMillis;
    }

    boolean prefixHit() {
        return prefixHit;
    }
}
