package io.lagoonseam.entry.tls;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Optional;

/**
 * Checks that a certificate is valid now and that its private key matches, so that a partly replaced pair of files is
 * not used.
 */
final class CertificateCheck {

    private static final byte[] SAMPLE = "sample".getBytes(StandardCharsets.UTF_8);

    private CertificateCheck() {}

    /** Returns a description of the fault, or empty if the certificate is valid and the key matches it. */
    static Optional<String> findFault(TlsFiles files) {
        try {
            X509Certificate certificate = certificate(Path.of(files.certificateFile()));
            certificate.checkValidity();
            String algorithm = certificate.getPublicKey().getAlgorithm();
            PrivateKey key = KeyFactory.getInstance(algorithm).generatePrivate(key(Path.of(files.keyFile())));
            String signing = "EC".equals(algorithm) ? "SHA256withECDSA" : "SHA256with" + algorithm;
            Signature signer = Signature.getInstance(signing);
            signer.initSign(key);
            signer.update(SAMPLE);
            byte[] signed = signer.sign();
            Signature verifier = Signature.getInstance(signing);
            verifier.initVerify(certificate);
            verifier.update(SAMPLE);
            return verifier.verify(signed)
                    ? Optional.empty()
                    : Optional.of("the private key does not match the certificate");
        } catch (IOException | GeneralSecurityException | IllegalArgumentException e) {
            return Optional.of(String.valueOf(e.getMessage()));
        }
    }

    private static X509Certificate certificate(Path file) throws IOException, GeneralSecurityException {
        try (InputStream stream = Files.newInputStream(file)) {
            return (X509Certificate) CertificateFactory.getInstance("X.509").generateCertificate(stream);
        }
    }

    private static PKCS8EncodedKeySpec key(Path file) throws IOException {
        String text = Files.readString(file).replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
        return new PKCS8EncodedKeySpec(Base64.getDecoder().decode(text));
    }
}
