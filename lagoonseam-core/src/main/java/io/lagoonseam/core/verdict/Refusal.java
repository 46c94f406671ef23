package io.lagoonseam.core.verdict;

import io.lagoonseam.core.audit.EventCode;
import java.util.OptionalLong;

/** A final negative answer to a caller: the verdict, the reason and when to come back. */
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
     * Starts a refusal.
     *
     * @param event the numbered event that gives the reason
     * @param httpStatus the HTTP status of the answer
     * @return a builder whose verdict is {@link Verdict.NotRun}
     */
    public static Builder builder(EventCode event, int httpStatus) {
        return new Builder(event, httpStatus);
    }

    /**
     * Returns what is known about the request's effect.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the numbered reason.
     *
     * @return the event
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
     * Returns the reason in words.
     *
     * @return one sentence for the caller
     */
    public String message() {
        return message;
    }

    /**
     * Returns when the caller should come back.
     *
     * @return milliseconds from now, or empty where none is known
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
         * Sets the reason in words.
         *
         * @param value one sentence
         * @return this builder
         */
        public Builder message(String value) {
            this.message = value;
            return this;
        }

        /**
         * Sets when the caller should come back.
         *
         * @param value milliseconds from now
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
