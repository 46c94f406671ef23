/** Admission, worker selection, retries and metrics of the requests that an entry node dispatches to upstreams. */
package io.lagoonseam.entry.dispatch;
