package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.configuration.ApiKey;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes the secrets of bearer keys, whose form is {@code NAME.SECRET}. */
public final class KeyHash {

    private static final HexFormat HEX = HexFormat.of();

    private KeyHash() {}

    /**
     * Hashes a secret.
     *
     * @param saltHex the salt in hexadecimal
     * @param secret the part of the key after its dot
     * @return the SHA-256 of salt and secret in hexadecimal
     */
    public static String hash(String saltHex, String secret) {
        MessageDigest digest = sha256();
        digest.update(HEX.parseHex(saltHex));
        return HEX.formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Checks a secret in constant time.
     *
     * @param key the key as the file set keeps it
     * @param secret the part of the key after its dot
     * @return whether it is the key's secret
     */
    public static boolean matches(ApiKey key, String secret) {
        byte[] expected = HEX.parseHex(key.hashHex());
        byte[] actual = HEX.parseHex(hash(key.saltHex(), secret));
        return MessageDigest.isEqual(expected, actual);
    }

    /**
     * Digests a text.
     *
     * @param text the text
     * @return its SHA-256 in hexadecimal
     */
    public static String digest(String text) {
        return HEX.formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
