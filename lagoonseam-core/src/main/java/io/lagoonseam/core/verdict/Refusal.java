package io.lagoonseam.core.verdict;

import io.lagoonseam.core.audit.EventCode;
import java.util.OptionalLong;

/** A final negative answer to a caller, with the verdict, the reason and the delay before a retry. Immutable. */
public final class Refusal {

    private final Verdict verdict;
    private final EventCode event;
    private final int httpStatus;
    private final String message;
    private final OptionalLong retryAfterMillis;

    private Refusal(Builder builder) {
        this.verdict = builder.verdict;
        this.event = builder.event;
        this.httpStatus = builder.httpStatus;
        this.message = builder.message;
        this.retryAfterMillis = builder.retryAfterMillis;
    }

    /**
     * Creates a builder of a refusal.
     *
     * @param event the numbered event that gives the reason
     * @param httpStatus the HTTP status of the answer
     * @return a builder whose verdict is {@link Verdict.NotRun}
     */
    public static Builder builder(EventCode event, int httpStatus) {
        return new Builder(event, httpStatus);
    }

    /**
     * Returns whether the request may have had an effect at its upstream.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the numbered event that gives the reason.
     *
     * @return the event code
     */
    public EventCode event() {
        return event;
    }

    /**
     * Returns the HTTP status of the answer.
     *
     * @return a status from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the text of the reason.
     *
     * @return one sentence for the caller
     */
    public String message() {
        return message;
    }

    /**
     * Returns the delay after which the caller should retry.
     *
     * @return the delay in ms, or empty if it is unknown
     */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis;
    }

    /** Builds a {@link Refusal}. */
    public static final class Builder {

        private final EventCode event;
        private final int httpStatus;
        private Verdict verdict = Verdict.NOT_RUN;
        private String message;
        private OptionalLong retryAfterMillis = OptionalLong.empty();

        private Builder(EventCode event, int httpStatus) {
            this.event = event;
            this.httpStatus = httpStatus;
            this.message = event.summary();
        }

        /**
         * Sets the verdict.
         *
         * @param value the verdict
         * @return this builder
         */
        public Builder verdict(Verdict value) {
            this.verdict = value;
            return this;
        }

        /**
         * Sets the text of the reason. The default is the summary of the event.
         *
         * @param value one sentence for the caller
         * @return this builder
         */
        public Builder message(String value) {
            this.message = value;
            return this;
        }

        /**
         * Sets the delay after which the caller should retry.
         *
         * @param value the delay in ms
         * @return this builder
         */
        public Builder retryAfterMillis(long value) {
            this.retryAfterMillis = OptionalLong.of(value);
            return this;
        }

        /**
         * Builds the refusal.
         *
         * @return the refusal
         */
        public Refusal build() {
            return new Refusal(this);
        }
    }
}
