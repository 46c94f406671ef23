package io.lagoonseam.core.configuration;

/**
 * A model that callers may name.
 *
 * @param name its name
 * @param service the service whose engines hold it
 * @param version its version
 */
public record Model(String name, String service, String version) {}
