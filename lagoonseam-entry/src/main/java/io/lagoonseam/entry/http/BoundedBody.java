package io.lagoonseam.entry.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.io.IOException;

/** Reads the body of a response up to a bound, since a faulty server may send bytes without an end. */
public final class BoundedBody {

    private BoundedBody() {}

    /**
     * Reads a body.
     *
     * @param response the response
     * @param maxBytes the largest body that is read, in bytes
     * @return the body; fails if it is larger, or is broken off. The caller has to reset the request then.
     */
    public static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
        Promise<Buffer> read = Promise.promise();
        Buffer body = Buffer.buffer();
        response.handler(bytes -> {
            if (body.length() + bytes.length() <= maxBytes) {
                body.appendBuffer(bytes);
            } else {
                read.tryFail(new IOException("the body has more than " + maxBytes + " bytes"));
            }
        });
        response.exceptionHandler(read::tryFail);
        response.endHandler(nothing -> read.tryComplete(body));
        return read.future();
    }
}
