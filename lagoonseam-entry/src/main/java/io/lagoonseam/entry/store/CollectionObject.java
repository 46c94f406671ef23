package io.lagoonseam.entry.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Version of an object of a collection in the store.
 *
 * @param name the name of the object, unique in its collection
 * @param revision the store's revision of the last change of the object
 * @param removed whether that change removed the object
 * @param content the content that the owner of the object wrote; null if it is absent or unreadable
 */
public record CollectionObject(String name, long revision, boolean removed, JsonNode content) {}
