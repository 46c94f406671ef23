package io.lagoonseam.entry.peer;

import io.vertx.core.net.NetSocket;
import java.security.cert.X509Certificate;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;

/** Checks the name that a node claims against the common name (CN) in its certificate. */
final class PeerIdentity {

    private PeerIdentity() {}

    /** Returns whether the certificate of the peer carries the given name; without TLS every name is accepted. */
    static boolean matches(NetSocket socket, String nodeId) {
        if (!socket.isSsl()) {
            return true;
        }
        try {
            X509Certificate certificate =
                    (X509Certificate) socket.peerCertificates().get(0);
            LdapName subject =
                    new LdapName(certificate.getSubjectX500Principal().getName());
            for (Rdn part : subject.getRdns()) {
                if ("CN".equalsIgnoreCase(part.getType())) {
                    return nodeId.equals(part.getValue());
                }
            }
            return false;
        } catch (SSLPeerUnverifiedException | InvalidNameException e) {
            return false;
        }
    }
}
