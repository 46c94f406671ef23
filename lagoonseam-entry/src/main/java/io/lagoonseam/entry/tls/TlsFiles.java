package io.lagoonseam.entry.tls;

import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;

/**
 * The paths of the files of a certificate, its private key and the trusted authorities.
 *
 * @param certificateFile the path of the node's certificate chain, in PEM format
 * @param keyFile the path of the node's private key, in PEM format (PKCS #8)
 * @param authorityFile the path of the authorities that verify certificates of peers, in PEM format; empty for callers
 */
public record TlsFiles(String certificateFile, String keyFile, String authorityFile) {

    /**
     * Builds the TLS options of a server that is already running.
     *
     * @param clients whether clients must present a certificate
     * @return the TLS options
     */
    public ServerSSLOptions serverOptions(ClientAuth clients) {
        ServerSSLOptions options =
                new ServerSSLOptions().setKeyCertOptions(keyCertOptions()).setClientAuth(clients);
        if (!authorityFile.isEmpty()) {
            options.setTrustOptions(trustOptions());
        }
        return options;
    }

    /**
     * Builds the TLS options of a running client that presents its own certificate. Hostname verification is off
     * because certificates carry names of nodes; the peer layer checks them.
     *
     * @return the TLS options
     */
    public ClientSSLOptions clientOptions() {
        return new ClientSSLOptions()
                .setKeyCertOptions(keyCertOptions())
                .setTrustOptions(trustOptions())
                .setHostnameVerificationAlgorithm("");
    }

    /**
     * Enables TLS with these files in the options of a server that is about to start.
     *
     * @param options the options of the server
     * @param clients whether clients must present a certificate
     */
    public void apply(NetServerOptions options, ClientAuth clients) {
        options.setSsl(true).setKeyCertOptions(keyCertOptions()).setClientAuth(clients);
        if (!authorityFile.isEmpty()) {
            options.setTrustOptions(trustOptions());
        }
    }

    /**
     * Enables TLS with these files in the options of a client that is about to start. The client presents its own
     * certificate, and hostname verification is off as in {@link #clientOptions}.
     *
     * @param options the options of the client
     */
    public void apply(NetClientOptions options) {
        options.setSsl(true)
                .setKeyCertOptions(keyCertOptions())
                .setTrustOptions(trustOptions())
                .setHostnameVerificationAlgorithm("");
    }

    private PemKeyCertOptions keyCertOptions() {
        return new PemKeyCertOptions().addCertPath(certificateFile).addKeyPath(keyFile);
    }

    private PemTrustOptions trustOptions() {
        return new PemTrustOptions().addCertPath(authorityFile);
    }
}
