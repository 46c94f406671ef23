package io.lagoonseam.entry.upstream;

/**
 * What an upstream says of its load.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait there
 * @param serving whether it takes new work, as far as it says
 */
public record LoadReport(int running, int waiting, boolean serving) {}
