package io.lagoonseam.entry.peer;

import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.wire.FrameKind;
import io.lagoonseam.wire.PeerFrame;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** A request that waits for its connection or its answer. Belongs to the transport's event loop. */
final class PendingRequest {

    private final int messageType;
    private final byte[] payload;
    private final CompletableFuture<PeerReply> reply;
    private final Executor handlers;
    private Runnable ending = () -> {};
    private boolean sent;
    private boolean done;

    PendingRequest(int messageType, byte[] payload, CompletableFuture<PeerReply> reply, Executor handlers) {
        this.messageType = messageType;
        this.payload = payload;
        this.reply = reply;
        this.handlers = handlers;
    }

    int messageType() {
        return messageType;
    }

    byte[] payload() {
        return payload;
    }

    boolean done() {
        return done;
    }

    boolean sent() {
        return sent;
    }

    void whenDone(Runnable action) {
        ending = action;
    }

    /** Notes that bytes may leave from now on. */
    void markSent() {
        sent = true;
    }

    /** Ends the request without an answer: as not sent if no byte left, as unknown otherwise. */
    void fail(String reason) {
        complete(sent ? new PeerReply.Unknown(reason) : new PeerReply.NotSent(reason));
    }

    /** Ends the request by the frame that answers it. */
    void answered(PeerFrame frame) {
        if (frame.kind() == FrameKind.ANSWER) {
            complete(new PeerReply.Answered(frame.payload()));
        } else if (frame.kind() == FrameKind.REFUSAL) {
            complete(new PeerReply.NotSent(text(frame)));
        } else {
            complete(new PeerReply.Unknown(text(frame)));
        }
    }

    private static String text(PeerFrame frame) {
        return new String(frame.payload(), StandardCharsets.UTF_8);
    }

    private void complete(PeerReply result) {
        if (!done) {
            done = true;
            ending.run();
            deliver(result);
        }
    }

    /** Runs what waits for the reply on the decision threads, or here if they have ended. */
    private void deliver(PeerReply result) {
        try {
            handlers.execute(() -> reply.complete(result));
        } catch (RejectedExecutionException e) {
            reply.complete(result);
        }
    }
}
