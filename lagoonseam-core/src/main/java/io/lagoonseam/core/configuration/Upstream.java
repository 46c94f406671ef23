package io.lagoonseam.core.configuration;

/**
 * One upstream of a service.
 *
 * @param name its name, also in the VM list
 * @param service the service that it belongs to
 * @param host its IP number
 * @param port its port
 * @param dataCentre the data centre it is in
 * @param concurrency the most requests it runs at once
 */
public record Upstream(String name, String service, String host, int port, String dataCentre, int concurrency) {}
