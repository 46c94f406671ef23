package io.lagoonseam.core.configuration;

/**
 * A bearer key, kept as a salted hash.
 *
 * @param name the public part of the key, before its dot
 * @param workspace the workspace that it names
 * @param saltHex the salt in hexadecimal
 * @param hashHex the SHA-256 of salt and secret in hexadecimal
 */
public record ApiKey(String name, String workspace, String saltHex, String hashHex) {}
