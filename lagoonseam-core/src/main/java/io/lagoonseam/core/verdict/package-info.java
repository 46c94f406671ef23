/** Verdicts on whether a request has run at its upstream, and refusals that carry them. */
package io.lagoonseam.core.verdict;
