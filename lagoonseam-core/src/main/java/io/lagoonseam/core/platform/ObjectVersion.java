package io.lagoonseam.core.platform;

/**
 * The name and the version of an object.
 *
 * @param name its name
 * @param version its version, or the revision of its removal
 * @param deleted whether it was removed
 */
public record ObjectVersion(String name, long version, boolean deleted) {}
