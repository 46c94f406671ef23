package io.lagoonseam.entry.caller;

/** Names of the HTTP headers of the callers' interface. */
public final class CallerHeaders {

    /** The API key, in the form {@code Bearer NAME.SECRET}. */
    public static final String AUTHORIZATION = "Authorization";

    /** The request class that the caller requests, one of those that the workspace may use. */
    public static final String REQUEST_CLASS = "X-Request-Class";

    /**
     * The time in milliseconds within which the request must be sent to an upstream, capped by the deadline of its
     * service level.
     */
    public static final String DEADLINE_MILLIS = "X-Deadline-Millis";

    /** The key that identifies a non-idempotent operation, so that a retry with the same key does not run it again. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The id of the request; set on every response. */
    public static final String REQUEST_ID = "X-Request-Id";

    private CallerHeaders() {}
}
