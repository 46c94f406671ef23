package io.lagoonseam.core.configuration;

/**
 * A bearer key, stored as a salted hash.
 *
 * @param name the public part of the key, before the dot
 * @param workspace the name of the workspace that the key authenticates
 * @param saltHex the salt in hexadecimal
 * @param hashHex the SHA-256 hash of the salt and the secret in hexadecimal
 */
public record ApiKey(String name, String workspace, String saltHex, String hashHex) {}
