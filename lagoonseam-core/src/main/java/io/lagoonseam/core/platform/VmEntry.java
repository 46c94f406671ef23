package io.lagoonseam.core.platform;

/**
 * One VM of the list.
 *
 * @param name its name
 * @param dataCentre the data centre it is in
 * @param leaving whether it is about to go
 */
public record VmEntry(String name, String dataCentre, boolean leaving) {}
