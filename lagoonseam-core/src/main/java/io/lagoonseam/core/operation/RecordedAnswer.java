package io.lagoonseam.core.operation;

/**
 * The recorded answer of an operation, returned to duplicate requests.
 *
 * @param httpStatus the HTTP status of the upstream's answer
 * @param contentType the media type of the body
 * @param body the body as text
 */
public record RecordedAnswer(int httpStatus, String contentType, String body) {}
