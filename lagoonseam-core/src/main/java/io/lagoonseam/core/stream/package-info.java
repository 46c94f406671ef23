/** Timeouts, recovery limits and completeness checks for token streams. */
package io.lagoonseam.core.stream;
