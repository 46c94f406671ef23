/** Non-idempotent work that must run at most once. */
package io.lagoonseam.core.operation;
