/** Placeholder. */
package io.lagoonseam.wire;
