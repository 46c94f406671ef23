package io.lagoonseam.entry.upstream;

/**
 * Load report of an upstream.
 *
 * @param running the number of requests that run on the upstream
 * @param waiting the number of requests that wait in its own queue
 * @param serving whether it accepts new requests; true if the report does not list the ready models
 */
public record LoadReport(int running, int waiting, boolean serving) {}
