/** The limits of workspaces within the daemon. */
package io.lagoonseam.entry.limits;
