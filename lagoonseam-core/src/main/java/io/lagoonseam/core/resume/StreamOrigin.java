package io.lagoonseam.core.resume;

/**
 * What began a stream.
 *
 * @param service the name of the service
 * @param softwareVersion the software version of the worker that sent the first event, not empty
 */
public record StreamOrigin(String service, String softwareVersion) {}
