package io.lagoonseam.wire;

import io.lagoonseam.core.limits.LimitAmounts;
import io.lagoonseam.core.limits.LimitCodec;
import io.lagoonseam.core.limits.LimitDemand;
import io.lagoonseam.core.limits.LimitShare;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the messages with which nodes share the limits of workspaces, as MessagePack. */
public final class MessagePackLimitCodec implements LimitCodec {

    private static final int DEMAND_FIELDS = 4;
    private static final int SHARE_FIELDS = 5;

    @Override
    public byte[] encodeDemands(List<LimitDemand> demands) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(demands.size());
            for (LimitDemand demand : demands) {
                packer.packArrayHeader(DEMAND_FIELDS).packString(demand.workspace());
                write(packer, demand.amounts());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write a limit message to an in-memory buffer", e);
        }
    }

    private static void write(MessagePacker packer, LimitAmounts amounts) throws IOException {
        packer.packFloat((float) amounts.requestsPerSecond())
                .packFloat((float) amounts.tokensPerSecond())
                .packFloat((float) amounts.concurrency());
    }

    private static LimitAmounts readAmounts(MessageUnpacker unpacker) throws IOException {
        return new LimitAmounts(readAmount(unpacker), readAmount(unpacker), readAmount(unpacker));
    }

    private static double readAmount(MessageUnpacker unpacker) throws IOException {
        float amount = unpacker.unpackFloat();
        if (!Float.isFinite(amount) || amount < 0) {
            throw new MalformedMessageException(amount + " is not an amount: must be finite and not negative");
        }
        return amount;
    }

    @Override
    public List<LimitDemand> decodeDemands(byte[] encoded) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            List<LimitDemand> demands = new ArrayList<>();
            int count = unpacker.unpackArrayHeader();
            for (int index = 0; index < count; index++) {
                requireFields(unpacker.unpackArrayHeader(), DEMAND_FIELDS);
                demands.add(new LimitDemand(unpacker.unpackString(), readAmounts(unpacker)));
            }
            return demands;
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("malformed message of limit demands: " + e.getMessage(), e);
        }
    }

    @Override
    public byte[] encodeShares(List<LimitShare> shares) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(shares.size());
            for (LimitShare share : shares) {
                packer.packArrayHeader(SHARE_FIELDS).packString(share.workspace());
                write(packer, share.amounts());
                packer.packLong(share.validMillis());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write a limit message to an in-memory buffer", e);
        }
    }

    @Override
    public List<LimitShare> decodeShares(byte[] encoded) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            List<LimitShare> shares = new ArrayList<>();
            int count = unpacker.unpackArrayHeader();
            for (int index = 0; index < count; index++) {
                requireFields(unpacker.unpackArrayHeader(), SHARE_FIELDS);
                shares.add(new LimitShare(unpacker.unpackString(), readAmounts(unpacker), unpacker.unpackLong()));
            }
            return shares;
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("malformed message of limit shares: " + e.getMessage(), e);
        }
    }

    private static void requireFields(int fields, int expected) {
        if (fields != expected) {
            throw new MalformedMessageException(fields + " fields in a demand or share, expected " + expected);
        }
    }
}
