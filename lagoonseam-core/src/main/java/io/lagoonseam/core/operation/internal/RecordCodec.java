package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes sequences of journal records in a binary format. */
final class RecordCodec {

    private static final int INTENT = 1;
    private static final int OUTCOME = 2;
    private static final int RAN = 3;
    private static final int WITHDRAWAL = 4;

    private RecordCodec() {}

    static byte[] encode(List<JournalRecord> records) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            for (JournalRecord item : records) {
                write(out, item);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(DataOutputStream out, JournalRecord item) throws IOException {
        out.writeByte(typeOf(item));
        writeText(out, item.key().workspace());
        writeText(out, item.key().key());
        writeText(out, item.key().requestDigest());
        writeText(out, item.attemptId());
        if (item instanceof JournalRecord.Ran ran) {
            out.writeLong(ran.recordedAtMillis());
        }
        if (item instanceof JournalRecord.Completed outcome) {
            out.writeLong(outcome.recordedAtMillis());
            out.writeInt(outcome.answer().httpStatus());
            writeText(out, outcome.answer().contentType());
            writeText(out, outcome.answer().body());
        }
    }

    private static int typeOf(JournalRecord item) {
        if (item instanceof JournalRecord.Intent) {
            return INTENT;
        }
        if (item instanceof JournalRecord.Completed) {
            return OUTCOME;
        }
        return item instanceof JournalRecord.Ran ? RAN : WITHDRAWAL;
    }

    static List<JournalRecord> decode(byte[] bytes) {
        List<JournalRecord> records = new ArrayList<>();
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            while (in.available() > 0) {
                records.add(read(in));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return records;
    }

    private static JournalRecord read(DataInputStream in) throws IOException {
        int type = in.readByte();
        OperationKey key = new OperationKey(readText(in), readText(in), readText(in));
        String attemptId = readText(in);
        return switch (type) {
            case INTENT -> new JournalRecord.Intent(key, attemptId);
            case OUTCOME ->
                new JournalRecord.Completed(
                        key, attemptId, in.readLong(), new RecordedAnswer(in.readInt(), readText(in), readText(in)));
            case RAN -> new JournalRecord.Ran(key, attemptId, in.readLong());
            case WITHDRAWAL -> new JournalRecord.Withdrawal(key, attemptId);
            default -> throw new IOException("unknown journal record type: " + type);
        };
    }

    static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    static String readText(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
