package io.lagoonseam.core.platform;

/**
 * The name and version of an object.
 *
 * @param name the name of the object
 * @param version the version of the object, or the revision of its deletion
 * @param deleted whether the object was deleted
 */
public record ObjectVersion(String name, long version, boolean deleted) {}
