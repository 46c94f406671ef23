package io.lagoonseam.core.operation;

/**
 * The answer of an operation as it is kept for duplicates.
 *
 * @param httpStatus the status that the upstream gave
 * @param contentType the content type of the body
 * @param body the body as text
 */
public record RecordedAnswer(int httpStatus, String contentType, String body) {}
