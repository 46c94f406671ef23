package io.lagoonseam.wire;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.OperationMessage;
import io.lagoonseam.core.operation.OperationReply;
import io.lagoonseam.core.operation.RecordedAnswer;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes the messages to owners of journal shards, and their replies, as MessagePack. */
public final class OperationMessageCodec {

    private static final int VERSION = 1;
    private static final int BEGIN = 1;
    private static final int COMPLETE = 2;
    private static final int WITHDRAW = 3;
    private static final int LEAVE_IN_DOUBT = 4;
    private static final int DONE = 1;
    private static final int FAILED = 2;
    private static final int MOVED = 3;
    private static final int STARTED = 4;
    private static final int COMPLETED = 5;
    private static final int RAN_BEFORE = 6;
    private static final int IN_DOUBT = 7;
    private static final int MISMATCHED = 8;
    private static final int UNAVAILABLE = 9;

    private OperationMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return MessagePack
     */
    public static byte[] encode(OperationMessage message) {
        if (message instanceof OperationMessage.Begin begin) {
            BeginRequest request = begin.request();
            return header(BEGIN, request.key(), request.attemptId())
                    .number(request.tier().ordinal())
                    .number(request.waitMillis())
                    .bytes();
        }
        if (message instanceof OperationMessage.Complete complete) {
            MessageWriter writer = header(COMPLETE, complete.key(), complete.attemptId());
            writer.flag(complete.answer().isPresent());
            complete.answer().ifPresent(answer -> write(writer, answer));
            return writer.bytes();
        }
        if (message instanceof OperationMessage.Withdraw withdraw) {
            return header(WITHDRAW, withdraw.key(), withdraw.attemptId()).bytes();
        }
        OperationMessage.LeaveInDoubt leave = (OperationMessage.LeaveInDoubt) message;
        return header(LEAVE_IN_DOUBT, leave.key(), leave.attemptId()).bytes();
    }

    private static MessageWriter header(int type, OperationKey key, String attemptId) {
        return new MessageWriter(VERSION)
                .number(type)
                .list(List.of(key.workspace(), key.key(), key.requestDigest(), attemptId));
    }

    private static void write(MessageWriter writer, RecordedAnswer answer) {
        writer.number(answer.httpStatus()).list(List.of(answer.contentType(), answer.body()));
    }

    private static RecordedAnswer readAnswer(MessageReader reader) {
        int status = (int) reader.number();
        List<String> strings = reader.list();
        return new RecordedAnswer(status, strings.get(0), strings.get(1));
    }

    /**
     * Decodes a message.
     *
     * @param payload MessagePack
     * @return the message
     * @throws IllegalArgumentException if the bytes are not a message of this version
     */
    public static OperationMessage decodeMessage(byte[] payload) {
        MessageReader reader = new MessageReader(payload, VERSION);
        int type = (int) reader.number();
        List<String> strings = reader.list();
        OperationKey key = new OperationKey(strings.get(0), strings.get(1), strings.get(2));
        String attemptId = strings.get(3);
        return switch (type) {
            case BEGIN ->
                new OperationMessage.Begin(
                        new BeginRequest(key, attemptId, Tier.values()[(int) reader.number()], reader.number()));
            case COMPLETE ->
                new OperationMessage.Complete(
                        key, attemptId, reader.flag() ? Optional.of(readAnswer(reader)) : Optional.empty());
            case WITHDRAW -> new OperationMessage.Withdraw(key, attemptId);
            case LEAVE_IN_DOUBT -> new OperationMessage.LeaveInDoubt(key, attemptId);
            default -> throw new IllegalArgumentException("operation message type " + type + " is unknown");
        };
    }

    /**
     * Encodes a reply.
     *
     * @param reply the reply
     * @return MessagePack
     */
    public static byte[] encode(OperationReply reply) {
        if (reply instanceof OperationReply.Began began) {
            return encode(began.result());
        }
        if (reply instanceof OperationReply.Moved moved) {
            return new MessageWriter(VERSION)
                    .number(MOVED)
                    .list(List.of(moved.owner()))
                    .bytes();
        }
        return new MessageWriter(VERSION)
                .number(reply instanceof OperationReply.Done ? DONE : FAILED)
                .bytes();
    }

    private static byte[] encode(BeginResult result) {
        MessageWriter writer = new MessageWriter(VERSION);
        if (result instanceof BeginResult.Completed completed) {
            write(writer.number(COMPLETED), completed.answer());
        } else if (result instanceof BeginResult.Unavailable unavailable) {
            writer.number(UNAVAILABLE).number(unavailable.retryAfterMillis());
        } else if (result instanceof BeginResult.Started) {
            writer.number(STARTED);
        } else if (result instanceof BeginResult.RanBefore) {
            writer.number(RAN_BEFORE);
        } else {
            writer.number(result instanceof BeginResult.InDoubt ? IN_DOUBT : MISMATCHED);
        }
        return writer.bytes();
    }

    /**
     * Decodes a reply.
     *
     * @param payload MessagePack
     * @return the reply
     * @throws IllegalArgumentException if the bytes are not a reply of this version
     */
    public static OperationReply decodeReply(byte[] payload) {
        MessageReader reader = new MessageReader(payload, VERSION);
        int type = (int) reader.number();
        return switch (type) {
            case DONE -> new OperationReply.Done();
            case FAILED -> new OperationReply.Failed();
            case MOVED -> new OperationReply.Moved(reader.list().get(0));
            case STARTED -> new OperationReply.Began(new BeginResult.Started());
            case COMPLETED -> new OperationReply.Began(new BeginResult.Completed(readAnswer(reader)));
            case RAN_BEFORE -> new OperationReply.Began(new BeginResult.RanBefore());
            case IN_DOUBT -> new OperationReply.Began(new BeginResult.InDoubt());
            case MISMATCHED -> new OperationReply.Began(new BeginResult.Mismatched());
            case UNAVAILABLE -> new OperationReply.Began(new BeginResult.Unavailable(reader.number()));
            default -> throw new IllegalArgumentException("operation reply type " + type + " is unknown");
        };
    }
}
