/** How the journal of non-idempotent operations is kept in shards on the platform. */
package io.lagoonseam.core.operation.internal;
