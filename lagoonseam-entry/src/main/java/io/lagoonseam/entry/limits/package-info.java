/** Enforcement of the limits of workspaces in an entry node. */
package io.lagoonseam.entry.limits;
