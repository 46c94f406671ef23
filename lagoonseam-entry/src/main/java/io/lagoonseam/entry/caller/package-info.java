/** The HTTP interface for callers: chat completions and requests to plain services. */
package io.lagoonseam.entry.caller;
