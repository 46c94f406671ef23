/** Retry budgets, backoff, hedging and retry-after delays. */
package io.lagoonseam.core.retry;
