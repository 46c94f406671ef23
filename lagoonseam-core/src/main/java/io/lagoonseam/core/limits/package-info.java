/** Limits of workspaces that hold over all entry nodes of a data centre. */
package io.lagoonseam.core.limits;
