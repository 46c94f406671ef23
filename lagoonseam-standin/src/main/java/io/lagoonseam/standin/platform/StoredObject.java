package io.lagoonseam.standin.platform;

import io.vertx.core.buffer.Buffer;

/**
 * An object as the platform holds it.
 *
 * @param version the revision of its last write
 * @param value its content
 */
record StoredObject(long version, Buffer value) {}
