/** Cluster membership and failure detection among the entry nodes. */
package io.lagoonseam.core.membership;
