/** HTTP client for upstreams: single attempts of requests, load reports and prefix cache events. */
package io.lagoonseam.entry.upstream;
