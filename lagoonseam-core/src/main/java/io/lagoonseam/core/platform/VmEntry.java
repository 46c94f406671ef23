package io.lagoonseam.core.platform;

/**
 * An entry of the platform's VM list.
 *
 * @param name the name of the VM
 * @param dataCentre the name of its data centre
 * @param leaving whether the VM is leaving, that is, about to be stopped
 */
public record VmEntry(String name, String dataCentre, boolean leaving) {}
