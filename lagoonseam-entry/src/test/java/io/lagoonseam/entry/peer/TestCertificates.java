package io.lagoonseam.entry.peer;

import io.lagoonseam.entry.tls.TlsFiles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** A test certificate authority that issues certificates with the keytool of the JDK. */
public final class TestCertificates {

    private static final String PASSWORD = "changeit";
    private static final String ALIAS = "key";

    private final Path folder;
    private final Path authorityStore;

    /**
     * Creates an authority.
     *
     * @param folder the folder of its files
     */
    public TestCertificates(Path folder) {
        this.folder = folder;
        this.authorityStore = folder.resolve("authority.p12");
        keytool(authorityStore, "-genkeypair", "-keyalg", "EC", "-dname", "CN=authority", "-ext", "bc:c");
    }

    /**
     * Issues a certificate signed by the authority and writes its PEM files.
     *
     * @param prefix the prefix of the file names
     * @param commonName the common name (CN) in the certificate
     * @return the files of the certificate, its key and the authority
     */
    public TlsFiles issue(String prefix, String commonName) {
        try {
            Path store = folder.resolve(prefix + "-" + System.nanoTime() + ".p12");
            Path request = folder.resolve(prefix + ".csr");
            Path signed = folder.resolve(prefix + ".cer");
            keytool(store, "-genkeypair", "-keyalg", "EC", "-dname", "CN=" + commonName);
            keytool(store, "-certreq", "-file", request.toString());
            keytool(
                    authorityStore,
                    "-gencert",
                    "-rfc",
                    "-infile",
                    request.toString(),
                    "-outfile",
                    signed.toString(),
                    "-ext",
                    "san=ip:127.0.0.1");
            Path key = folder.resolve(prefix + ".key");
            Path authority = folder.resolve(prefix + "-authority.pem");
            byte[] privateKey =
                    load(store).getKey(ALIAS, PASSWORD.toCharArray()).getEncoded();
            Files.writeString(key, pem("PRIVATE KEY", privateKey));
            Certificate authorityCertificate = load(authorityStore).getCertificate(ALIAS);
            Files.writeString(authority, pem("CERTIFICATE", authorityCertificate.getEncoded()));
            return new TlsFiles(signed.toString(), key.toString(), authority.toString());
        } catch (IOException | GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static KeyStore load(Path store) throws IOException, GeneralSecurityException {
        return KeyStore.getInstance(store.toFile(), PASSWORD.toCharArray());
    }

    private static String pem(String type, byte[] content) {
        String encoded = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content);
        return "-----BEGIN " + type + "-----\n" + encoded + "\n-----END " + type + "-----\n";
    }

    private static void keytool(Path store, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
        command.addAll(List.of(arguments));
        command.addAll(List.of("-alias", ALIAS, "-keystore", store.toString(), "-storepass", PASSWORD));
        try {
            Process process =
                    new ProcessBuilder(command).redirectErrorStream(true).start();
            String output = new String(process.getInputStream().readAllBytes());
            if (process.waitFor() != 0) {
                throw new IllegalStateException(output);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
