package io.lagoonseam.core.audit;

/**
 * A structured log with one entry for each decision about a request and each change in the state that the node assumes
 * of other nodes, workers and the store.
 */
public interface DecisionLog extends EventSink {

    /** Discards all events and decisions. */
    DecisionLog NOOP = new DecisionLog() {
        @Override
        public void record(EventCode code, String detail) {
            // discarded
        }

        @Override
        public void recordDecision(EventCode code, String requestId, Object... fields) {
            // discarded
        }
    };

    /**
     * Records a decision with its inputs.
     *
     * @param code the code of the event
     * @param requestId the id of the request, empty if the decision concerns no request
     * @param fields alternating field names and values: the decision and its inputs
     */
    void recordDecision(EventCode code, String requestId, Object... fields);
}
