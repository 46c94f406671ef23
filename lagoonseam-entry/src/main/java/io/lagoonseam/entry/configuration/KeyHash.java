package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.configuration.ApiKey;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes and verifies the secrets of API keys, which have the form {@code NAME.SECRET}. */
public final class KeyHash {

    private static final HexFormat HEX = HexFormat.of();

    private KeyHash() {}

    /**
     * Hashes a secret with its salt.
     *
     * @param saltHex the salt in hexadecimal
     * @param secret the part of the key after its dot
     * @return the SHA-256 digest of salt and secret, in hexadecimal
     */
    public static String hash(String saltHex, String secret) {
        MessageDigest digest = sha256();
        digest.update(HEX.parseHex(saltHex));
        return HEX.formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Verifies a secret in constant time.
     *
     * @param key the key with its salt and hash, from the file set
     * @param secret the part of the presented key after its dot
     * @return true if the secret matches the hash
     */
    public static boolean matches(ApiKey key, String secret) {
        byte[] expected = HEX.parseHex(key.hashHex());
        byte[] actual = HEX.parseHex(hash(key.saltHex(), secret));
        return MessageDigest.isEqual(expected, actual);
    }

    /**
     * Computes the digest of a text.
     *
     * @param text the text
     * @return the SHA-256 digest of its UTF-8 bytes, in hexadecimal
     */
    public static String digest(String text) {
        return HEX.formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}
