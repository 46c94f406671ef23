package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.BodyMemory;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Reads the body of one request as fast as there is memory for it. The body is passed on as a whole or not at all. Runs
 * on the event loop of the request.
 */
final class BodyReader implements BodyMemory.Reader {

    /**
     * The longest time for which a caller is not read from until there is memory, in milliseconds. A caller that is not
     * read from for a second gives up without having learnt that its request has not run.
     */
    private static final long MAX_WAIT_MILLIS = 500;

    /** How long a caller whose request is refused is read from, so that it reads the response, in milliseconds. */
    private static final long DISCARD_MILLIS = 500;

    private final ForwardEnvironment environment;
    private final BodyMemory memory;
    private final HttpServerRequest request;
    private final Limits limits;
    private final IntSupplier priority;
    private final Listener listener;
    private final RequestTimer readTimer;
    private final RequestTimer waitTimer;
    private final long beganMillis;
    private RequestBody body;
    private Optional<BodyMemory.Claim> claim = Optional.empty();
    private long waitedMillis;
    private long waitsSinceMillis;
    private boolean waits;
    private boolean ended;

    /** Why a body is not read to its end. */
    enum Fault {
        /** The caller has broken it off, or it cannot be decoded. */
        MALFORMED,
        /** The caller has not sent it in time. */
        TOO_SLOW,
        /** It is larger than bodies may be. */
        TOO_LARGE,
        /** There is no memory for it. */
        NO_ROOM
    }

    /**
     * What a caller may send.
     *
     * @param bodyBytes the largest length, in bytes
     * @param readMillis the longest time from the header section to the end, without waiting for memory, in
     *     milliseconds
     */
    record Limits(long bodyBytes, long readMillis) {}

    /** Receives the body or the reason why there is none, once. */
    interface Listener {

        /** The body has been read completely. */
        void onRead(RequestBody body);

        /** The body will not be read to its end. Its memory has been released. */
        void onFault(Fault fault);
    }

    /**
     * Creates a reader that has not started.
     *
     * @param environment the clocks and timers
     * @param memory the memory for bodies
     * @param request the request
     * @param limits what the caller may send
     * @param priority supplies the priority of the request; 0 is the most urgent
     * @param listener receives the result
     */
    BodyReader(
            ForwardEnvironment environment,
            BodyMemory memory,
            HttpServerRequest request,
            Limits limits,
            IntSupplier priority,
            Listener listener) {
        this.environment = environment;
        this.memory = memory;
        this.request = request;
        this.limits = limits;
        this.priority = priority;
        this.listener = listener;
        this.readTimer = new RequestTimer(environment.vertx());
        this.waitTimer = new RequestTimer(environment.vertx());
        this.beganMillis = nowMillis();
        this.body = new RequestBody(declaredBytes(request));
    }

    private static long declaredBytes(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        try {
            return length == null ? -1 : Long.parseLong(length.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    void start() {
        readTimer.restart(limits.readMillis(), this::onReadTimeout);
        request.exceptionHandler(cause -> fail(Fault.MALFORMED));
        request.handler(this::onPiece);
        request.endHandler(nothing -> onEnd());
    }

    private void onPiece(Buffer piece) {
        if (ended) {
            return;
        }
        boolean kept = false;
        try {
            body.append(piece);
            kept = true;
        } finally {
            if (!kept) {
                fail(Fault.NO_ROOM);
            }
        }
        if (body.length() > limits.bodyBytes()) {
            fail(Fault.TOO_LARGE);
            return;
        }
        if (claim.isEmpty()) {
            claim = Optional.of(memory.begin(priority.getAsInt(), declaredBytes(request), this));
        }
        boolean readOn = claim.get().grow(body.heldBytes());
        if (!readOn && !ended && !waits && !body.hasDeclaredLength()) {
            await();
        }
    }

    private void await() {
        waits = true;
        waitsSinceMillis = nowMillis();
        request.pause();
        long leftMillis = MAX_WAIT_MILLIS - waitedMillis;
        waitTimer.restart(Math.max(1, leftMillis), () -> fail(Fault.NO_ROOM));
    }

    @Override
    public void onRoom() {
        if (waits && !ended) {
            waits = false;
            waitedMillis += nowMillis() - waitsSinceMillis;
            waitTimer.cancel();
            request.resume();
        }
    }

    @Override
    public void onRefused() {
        fail(Fault.NO_ROOM);
    }

    private void onReadTimeout() {
        long waitingMillis = waitedMillis + (waits ? nowMillis() - waitsSinceMillis : 0);
        long leftMillis = beganMillis + limits.readMillis() + waitingMillis - nowMillis();
        if (leftMillis > 0) {
            readTimer.restart(leftMillis, this::onReadTimeout);
        } else {
            fail(Fault.TOO_SLOW);
        }
    }

    private void onEnd() {
        if (ended) {
            return;
        }
        end();
        claim.ifPresent(BodyMemory.Claim::complete);
        listener.onRead(body);
    }

    private void fail(Fault fault) {
        if (!ended) {
            end();
            release();
            listener.onFault(fault);
        }
    }

    private void end() {
        ended = true;
        readTimer.cancel();
        waitTimer.cancel();
    }

    /** Releases the memory of the body, which is no longer used; further calls have no effect. */
    void release() {
        body = new RequestBody(0);
        claim.ifPresent(BodyMemory.Claim::end);
        claim = Optional.empty();
    }

    /**
     * Closes the connection of a caller that has been responded to before its request was read, once it has sent the
     * rest, or after some time. At once, the connection would be reset, and the response might be lost.
     */
    void closeUnread() {
        Runnable close = () -> request.connection().close();
        RequestTimer timer = new RequestTimer(environment.vertx());
        timer.restart(DISCARD_MILLIS, close);
        request.handler(bytes -> {
            // the rest of a request that has been refused
        });
        request.exceptionHandler(cause -> timer.cancel());
        request.endHandler(nothing -> {
            timer.cancel();
            close.run();
        });
        request.resume();
    }
}
