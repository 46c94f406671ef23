package io.lagoonseam.entry.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of a collection.
 *
 * @param name its name
 * @param revision the store's revision of its last change
 * @param removed whether that change removed it
 * @param content what its owner wrote; null if it is absent or cannot be read
 */
public record StoredObject(String name, long revision, boolean removed, JsonNode content) {}
