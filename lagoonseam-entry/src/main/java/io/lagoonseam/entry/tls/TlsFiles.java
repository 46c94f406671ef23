package io.lagoonseam.entry.tls;

import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;

/**
 * Where the certificate, its key and the trusted authorities are.
 *
 * @param certificateFile the node's certificate chain in PEM
 * @param keyFile the node's private key in PEM, PKCS 8
 * @param authorityFile the authorities that certificates of peers are checked against, in PEM; empty for callers
 */
public record TlsFiles(String certificateFile, String keyFile, String authorityFile) {

    /**
     * Reads the files for a server.
     *
     * @param clients whether clients need a certificate of their own
     * @return options for a server
     */
    public ServerSSLOptions server(ClientAuth clients) {
        ServerSSLOptions options =
                new ServerSSLOptions().setKeyCertOptions(keyCertificate()).setClientAuth(clients);
        if (!authorityFile.isEmpty()) {
            options.setTrustOptions(trust());
        }
        return options;
    }

    /**
     * Reads the files for a client that shows its own certificate. The name in a server's certificate is checked by the
     * peer layer, as nodes have names of their own.
     *
     * @return options for a client
     */
    public ClientSSLOptions client() {
        return new ClientSSLOptions()
                .setKeyCertOptions(keyCertificate())
                .setTrustOptions(trust())
                .setHostnameVerificationAlgorithm("");
    }

    /**
     * Sets the files at the start of a server.
     *
     * @param options the options of the server
     * @param clients whether clients need a certificate of their own
     */
    public void apply(NetServerOptions options, ClientAuth clients) {
        options.setSsl(true).setKeyCertOptions(keyCertificate()).setClientAuth(clients);
        if (!authorityFile.isEmpty()) {
            options.setTrustOptions(trust());
        }
    }

    /**
     * Sets the files at the start of a client.
     *
     * @param options the options of the client
     */
    public void apply(NetClientOptions options) {
        options.setSsl(true)
                .setKeyCertOptions(keyCertificate())
                .setTrustOptions(trust())
                .setHostnameVerificationAlgorithm("");
    }

    private PemKeyCertOptions keyCertificate() {
        return new PemKeyCertOptions().addCertPath(certificateFile).addKeyPath(keyFile);
    }

    private PemTrustOptions trust() {
        return new PemTrustOptions().addCertPath(authorityFile);
    }
}
