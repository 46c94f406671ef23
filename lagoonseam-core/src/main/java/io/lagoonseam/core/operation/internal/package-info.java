/** Shards of the operation journal: their storage on the platform, ownership and in-memory state. */
package io.lagoonseam.core.operation.internal;
