/** Enforcement of workspace limits across all entry nodes of a data centre. */
package io.lagoonseam.core.limits;
