package io.lagoonseam.entry.caller;

/** The headers of the callers' interface. */
public final class CallerHeaders {

    /** Carries {@code Bearer NAME.SECRET}. */
    public static final String AUTHORIZATION = "Authorization";

    /** Chooses a request class among those that the workspace may use. */
    public static final String REQUEST_CLASS = "X-Request-Class";

    /** The time within which the request must begin, in milliseconds. */
    public static final String DEADLINE_MILLIS = "X-Deadline-Millis";

    /** Binds a non-idempotent request to a key. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The id of the request, on every answer. */
    public static final String REQUEST_ID = "X-Request-Id";

    private CallerHeaders() {}
}
