package io.lagoonseam.entry.forward;

import io.lagoonseam.wire.DetourMessages.Outcome;
import io.lagoonseam.wire.DetourMessages.Terms;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The header in which nodes tell each other about a request that one sends for the other. It never leaves the nodes.
 */
final class DetourHeader {

    private static final String NAME = "Lagoonseam-Detour";

    private DetourHeader() {}

    static void write(MultiMap headers, Terms terms) {
        headers.set(NAME, encode(terms.encode()));
    }

    static void write(MultiMap headers, Outcome outcome) {
        headers.set(NAME, encode(outcome.encode()));
    }

    private static String encode(byte[] message) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(message);
    }

    /** Returns what the node that took the request decided, empty if the header is missing or malformed. */
    static Optional<Terms> terms(MultiMap headers) {
        return read(headers, Terms::decode);
    }

    /** Returns what became of the request, empty if the header is missing or malformed. */
    static Optional<Outcome> outcome(MultiMap headers) {
        return read(headers, Outcome::decode);
    }

    private static <T> Optional<T> read(MultiMap headers, Function<byte[], T> decoder) {
        String value = headers.get(NAME);
        if (value == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(decoder.apply(Base64.getUrlDecoder().decode(value)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns a copy of headers without this one. */
    static MultiMap without(MultiMap headers) {
        MultiMap copy = HttpHeaders.headers();
        for (Map.Entry<String, String> header : headers) {
            if (!NAME.equalsIgnoreCase(header.getKey())) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
