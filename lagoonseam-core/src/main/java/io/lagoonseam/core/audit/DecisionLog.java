package io.lagoonseam.core.audit;

/** Receives one structured line for each decision that touches a request or changes what the node believes. */
public interface DecisionLog extends EventSink {

    /** Drops everything. */
    DecisionLog NOOP = new DecisionLog() {
        @Override
        public void record(EventCode code, String detail) {
            // nothing is kept
        }

        @Override
        public void decided(EventCode code, String requestId, Object... fields) {
            // nothing is kept
        }
    };

    /**
     * Records a decision.
     *
     * @param code the event
     * @param requestId the request, empty for what concerns none
     * @param fields names and values by turns: what was decided and the inputs that decided it
     */
    void decided(EventCode code, String requestId, Object... fields);
}
