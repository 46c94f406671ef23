package io.lagoonseam.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Reads the body of a URL with an HTTP GET request, with a timeout of 5 s; the status code is ignored. */
final class HttpReader {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private HttpReader() {}

    static String read(String url) throws IOException, InterruptedException, UsageException {
        HttpRequest request;
        try {
            request = HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build();
        } catch (IllegalArgumentException e) {
            UsageException failure = new UsageException("'" + url + "' is not a URL");
            failure.initCause(e);
            throw failure;
        }
        HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }
}
