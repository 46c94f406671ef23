package io.lagoonseam.entry.upstream;

/**
 * What an upstream says of its load.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait there
 */
public record LoadReport(int running, int waiting) {}
