package io.lagoonseam.core.admission.internal;

import io.lagoonseam.core.admission.AnswerLengthEstimator;
import io.lagoonseam.core.admission.Ticket;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests that run, and how fast a service works them off. The pace is taken from answers that ended, per running
 * request, so that it is right as well when the service was idle before.
 */
public final class ServicePace {

    private static final double PACE_GAIN = 0.05;
    private static final double SHARE_GAIN = 0.02;

    private final Map<String, Running> running = new HashMap<>();
    private final AnswerLengthEstimator lengths;
    private double remainingCost;
    private double tokensPerMilli;
    private double urgentCostShare;

    /**
     * Creates a pace that is not known yet.
     *
     * @param lengths the estimates of answer lengths
     */
    public ServicePace(AnswerLengthEstimator lengths) {
        this.lengths = lengths;
    }

    private static final class Running {
        private final Ticket ticket;
        private final long startMillis;
        private double expectedCost;
        private int tokens;

        private Running(Ticket ticket, long startMillis, double expectedCost) {
            this.ticket = ticket;
            this.startMillis = startMillis;
            this.expectedCost = expectedCost;
        }

        private double remaining() {
            return Math.max(0, expectedCost - tokens);
        }
    }

    /**
     * What a started request turned out to cost beyond the estimate.
     *
     * @param ticket the request
     * @param costDifference tokens, negative if it was shorter
     */
    public record Correction(Ticket ticket, double costDifference) {}

    /**
     * Starts a request.
     *
     * @param entry the request
     * @param nowMillis the monotonic time
     */
    public void started(QueueEntry entry, long nowMillis) {
        Ticket ticket = entry.ticket();
        Running before = running.put(ticket.id(), new Running(ticket, nowMillis, entry.cost()));
        remainingCost -= before == null ? 0 : before.remaining();
        remainingCost += entry.cost();
        urgentCostShare += SHARE_GAIN * ((ticket.urgent() ? 1 : 0) - urgentCostShare);
    }

    /**
     * Corrects the estimate of a running request.
     *
     * @param id the request's id
     * @param tokens the tokens that have come
     * @return the correction, or null if the request does not run
     */
    public Correction progressed(String id, int tokens) {
        Running request = running.get(id);
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
        return new Correction(ticket, difference);
    }

    /**
     * Ends a running request.
     *
     * @param id the request's id
     * @param tokens the tokens of its answer
     * @param whole whether the answer is whole
     * @param nowMillis the monotonic time
     * @return the correction, or null if the request did not run
     */
    public Correction finished(String id, int tokens, boolean whole, long nowMillis) {
        Running request = running.remove(id);
        if (request == null) {
            return null;
        }
        remainingCost = running.isEmpty() ? 0 : remainingCost - request.remaining();
        int cost = Math.max(1, tokens);
        if (whole) {
            Ticket ticket = request.ticket;
            lengths.record(ticket.requestClass().name(), ticket.workspace(), cost);
            double pace = cost / (double) Math.max(1, nowMillis - request.startMillis);
            tokensPerMilli = tokensPerMilli == 0 ? pace : tokensPerMilli + PACE_GAIN * (pace - tokensPerMilli);
        }
        return new Correction(request.ticket, cost - request.expectedCost);
    }

    /**
     * Returns whether an estimate can be made.
     *
     * @return true once an answer has ended and while requests run
     */
    public boolean known() {
        return tokensPerMilli > 0 && !running.isEmpty();
    }

    /**
     * Returns how fast the running requests are worked off together.
     *
     * @return expected tokens a millisecond
     */
    public double costPerMilli() {
        return tokensPerMilli * running.size();
    }

    /**
     * Returns the share of recent starts that were urgent.
     *
     * @return from 0 to 1
     */
    public double urgentShare() {
        return urgentCostShare;
    }

    /**
     * Returns the mean time until the next running request ends.
     *
     * @return milliseconds
     */
    public double untilNextEndMillis() {
        return running.isEmpty() ? 0 : remainingCost / running.size() / costPerMilli();
    }
}
