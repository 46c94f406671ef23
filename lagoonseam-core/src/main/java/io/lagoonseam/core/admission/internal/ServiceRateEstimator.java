package io.lagoonseam.core.admission.internal;

import io.lagoonseam.core.admission.AnswerLengthEstimator;
import io.lagoonseam.core.admission.Ticket;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the running requests of a service and estimates its processing rate. The rate is measured per running request
 * from completed answers, so that idle periods of the service do not lower it.
 */
public final class ServiceRateEstimator {

    private static final double RATE_EWMA_WEIGHT = 0.05;
    private static final double URGENT_SHARE_EWMA_WEIGHT = 0.02;

    private final Map<String, RunningRequest> running = new HashMap<>();
    private final AnswerLengthEstimator lengths;
    private double remainingCost;
    private double requestTokensPerMilli;
    private double urgentStartShare;

    /**
     * Creates an estimator without running requests and without an estimate.
     *
     * @param lengths the estimator of answer lengths, which also receives the lengths of completed answers
     */
    public ServiceRateEstimator(AnswerLengthEstimator lengths) {
        this.lengths = lengths;
    }

    private static final class RunningRequest {
        private final Ticket ticket;
        private final long startMillis;
        private double expectedCost;
        private int tokens;

        private RunningRequest(Ticket ticket, long startMillis, double expectedCost) {
            this.ticket = ticket;
            this.startMillis = startMillis;
            this.expectedCost = expectedCost;
        }

        private double remaining() {
            return Math.max(0, expectedCost - tokens);
        }
    }

    /**
     * The difference between the current cost of a started request and its previous estimate.
     *
     * @param ticket the request
     * @param costDifference the difference in tokens, negative if the answer is shorter than estimated
     */
    public record CostCorrection(Ticket ticket, double costDifference) {}

    /**
     * Records the start of a request.
     *
     * @param entry the request
     * @param nowMillis the current monotonic time in ms
     */
    public void started(QueueEntry entry, long nowMillis) {
        Ticket ticket = entry.ticket();
        RunningRequest replaced = running.put(ticket.id(), new RunningRequest(ticket, nowMillis, entry.cost()));
        remainingCost -= replaced == null ? 0 : replaced.remaining();
        remainingCost += entry.cost();
        urgentStartShare += URGENT_SHARE_EWMA_WEIGHT * ((ticket.urgent() ? 1 : 0) - urgentStartShare);
    }

    /**
     * Updates the estimated cost of a running request.
     *
     * @param id the request's id
     * @param tokens the number of tokens received so far
     * @return the correction, or null if the request is not running
     */
    public CostCorrection progressed(String id, int tokens) {
        RunningRequest request = running.get(id);
        if (request == null) {
            return null;
        }
        Ticket ticket = request.ticket;
        double expected = lengths.expectedTokens(ticket.requestClass().name(), ticket.workspace(), tokens);
        double difference = expected - request.expectedCost;
        remainingCost -= request.remaining();
        request.expectedCost = expected;
        request.tokens = tokens;
        remainingCost += request.remaining();
        return new CostCorrection(ticket, difference);
    }

    /**
     * Records the end of a running request.
     *
     * @param id the request's id
     * @param tokens the number of tokens of its answer
     * @param complete whether the answer is complete; only complete answers enter the estimates
     * @param nowMillis the current monotonic time in ms
     * @return the correction, or null if the request was not running
     */
    public CostCorrection finished(String id, int tokens, boolean complete, long nowMillis) {
        RunningRequest request = running.remove(id);
        if (request == null) {
            return null;
        }
        remainingCost = running.isEmpty() ? 0 : remainingCost - request.remaining();
        int cost = Math.max(1, tokens);
        if (complete) {
            Ticket ticket = request.ticket;
            lengths.record(ticket.requestClass().name(), ticket.workspace(), cost);
            double requestRate = cost / (double) Math.max(1, nowMillis - request.startMillis);
            requestTokensPerMilli = requestTokensPerMilli == 0
                    ? requestRate
                    : requestTokensPerMilli + RATE_EWMA_WEIGHT * (requestRate - requestTokensPerMilli);
        }
        return new CostCorrection(request.ticket, cost - request.expectedCost);
    }

    /**
     * Returns whether the rate and the time until the next end can be estimated.
     *
     * @return true if at least one answer was completed and requests are running
     */
    public boolean hasEstimate() {
        return requestTokensPerMilli > 0 && !running.isEmpty();
    }

    /**
     * Returns the processing rate of all running requests together.
     *
     * @return the rate in tokens per millisecond
     */
    public double costPerMilli() {
        return requestTokensPerMilli * running.size();
    }

    /**
     * Returns the share of urgent requests among recent starts, as an exponentially weighted moving average.
     *
     * @return the share, from 0 to 1
     */
    public double urgentShare() {
        return urgentStartShare;
    }

    /**
     * Estimates the time until the next running request ends.
     *
     * @return the time in milliseconds, 0 if no request is running
     */
    public double expectedMillisUntilNextCompletion() {
        return running.isEmpty() ? 0 : remainingCost / running.size() / costPerMilli();
    }
}
