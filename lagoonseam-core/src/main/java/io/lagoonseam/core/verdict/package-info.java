/** What is known about whether a request has run at its upstream. */
package io.lagoonseam.core.verdict;
