package io.lagoonseam.wire;

import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import java.io.IOException;
import java.util.OptionalDouble;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes {@link LimitReport} as a part of messages. */
final class LimitReportCodec {

    /** Stands for a limit that has ended. */
    private static final double ENDED = -1;

    private LimitReportCodec() {}

    static void pack(MessageBufferPacker packer, LimitReport report) throws IOException {
        packer.packString(report.worker().service())
                .packString(report.worker().id())
                .packLong(report.worker().startMillis())
                .packDouble(report.perSecond().orElse(ENDED))
                .packLong(report.ageMillis());
    }

    static LimitReport unpack(MessageUnpacker unpacker) throws IOException {
        WorkerIncarnation worker =
                new WorkerIncarnation(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
        double perSecond = unpacker.unpackDouble();
        boolean limited = perSecond >= 0 && Double.isFinite(perSecond);
        return new LimitReport(
                worker, limited ? OptionalDouble.of(perSecond) : OptionalDouble.empty(), unpacker.unpackLong());
    }
}
