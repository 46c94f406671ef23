package io.lagoonseam.cli.config;

import io.lagoonseam.cli.Command;
import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.cli.ExitCode;
import io.lagoonseam.entry.configuration.KeyHash;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.HexFormat;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Generates a random bearer key and prints the {@code Key} document with its salted hash. */
public final class ConfigHashKeyCommand implements Command {

    private static final int SALT_BYTES = 16;
    private static final int SECRET_BYTES = 24;

    @Override
    public String name() {
        return "config hash-key";
    }

    @Override
    public String summary() {
        return "Generate a bearer key and print it with the Key document that holds its salted hash";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.required("name", "NAME", "The public part of the key"))
                .addOption(CommandOptions.required("workspace", "NAME", "The workspace that the key belongs to"));
    }

    @Override
    public int run(CommandLine line, PrintStream out, PrintStream err) {
        SecureRandom random = new SecureRandom();
        String saltHex = randomHex(random, SALT_BYTES);
        String secret = randomHex(random, SECRET_BYTES);
        String name = line.getOptionValue("name");
        out.println("# give to the caller, keep nowhere: " + name + "." + secret);
        out.println("kind: Key");
        out.println("name: " + name);
        out.println("workspace: " + line.getOptionValue("workspace"));
        out.println("saltHex: \"" + saltHex + "\"");
        out.println("hashHex: \"" + KeyHash.hash(saltHex, secret) + "\"");
        return ExitCode.SUCCESS;
    }

    private static String randomHex(SecureRandom random, int bytes) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        return HexFormat.of().formatHex(value);
    }
}
