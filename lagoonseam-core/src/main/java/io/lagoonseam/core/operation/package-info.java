/** Journal that ensures non-idempotent operations run at most once. */
package io.lagoonseam.core.operation;
