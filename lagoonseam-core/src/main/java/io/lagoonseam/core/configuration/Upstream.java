package io.lagoonseam.core.configuration;

/**
 * An upstream of a service.
 *
 * @param name the name of the upstream, which is also its name in the VM list
 * @param service the name of its service
 * @param host the IP address
 * @param port the port
 * @param dataCentre the name of its data centre
 * @param concurrency the maximum number of concurrent requests
 */
public record Upstream(String name, String service, String host, int port, String dataCentre, int concurrency) {}
