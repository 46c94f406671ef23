package io.lagoonseam.standin.platform;

import io.vertx.core.buffer.Buffer;

/**
 * An object stored by the platform stand-in.
 *
 * @param version the revision of the store at the last write of the object
 * @param value the content of the object
 */
record StoredObject(long version, Buffer value) {}
