package io.lagoonseam.wire;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.membership.MembershipCodec;
import io.lagoonseam.core.membership.MembershipMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes membership messages as MessagePack. */
public final class MessagePackMembershipCodec implements MembershipCodec {

    private static final int MESSAGE_FIELDS = 4;
    private static final int MEMBER_FIELDS = 6;
    private static final int MAX_PORT = 65_535;

    @Override
    public byte[] encode(MembershipMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(MESSAGE_FIELDS).packBoolean(message.acknowledged());
            if (message.target().isPresent()) {
                write(packer, message.target().get());
            } else {
                packer.packNil();
            }
            packer.packArrayHeader(message.updates().size());
            for (Member member : message.updates()) {
                write(packer, member);
            }
            packer.packMapHeader(message.values().size());
            for (Map.Entry<Integer, Long> value : message.values().entrySet()) {
                packer.packInt(value.getKey()).packLong(value.getValue());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write a membership message to an in-memory buffer", e);
        }
    }

    private static void write(MessagePacker packer, Member member) throws IOException {
        packer.packArrayHeader(MEMBER_FIELDS)
                .packString(member.nodeId())
                .packString(member.dataCentre())
                .packString(member.host())
                .packInt(member.port())
                .packLong(member.incarnation())
                .packInt(member.state().ordinal());
    }

    @Override
    public MembershipMessage decode(byte[] encoded) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            requireFields(unpacker.unpackArrayHeader(), MESSAGE_FIELDS);
            boolean acknowledged = unpacker.unpackBoolean();
            Optional<Member> target = unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(readMember(unpacker));
            List<Member> updates = new ArrayList<>();
            int updateCount = unpacker.unpackArrayHeader();
            for (int index = 0; index < updateCount; index++) {
                updates.add(readMember(unpacker));
            }
            Map<Integer, Long> values = new TreeMap<>();
            int valueCount = unpacker.unpackMapHeader();
            for (int index = 0; index < valueCount; index++) {
                values.put(unpacker.unpackInt(), unpacker.unpackLong());
            }
            return new MembershipMessage(acknowledged, target, updates, values);
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("malformed membership message: " + e.getMessage(), e);
        }
    }

    private static Member readMember(MessageUnpacker unpacker) throws IOException {
        requireFields(unpacker.unpackArrayHeader(), MEMBER_FIELDS);
        String nodeId = unpacker.unpackString();
        String dataCentre = unpacker.unpackString();
        String host = unpacker.unpackString();
        int port = unpacker.unpackInt();
        long incarnation = unpacker.unpackLong();
        int state = unpacker.unpackInt();
        if (port < 0 || port > MAX_PORT || state < 0 || state >= MemberState.values().length) {
            throw new MalformedMessageException("port " + port + " or state " + state + " is out of range");
        }
        return new Member(nodeId, dataCentre, host, port, incarnation, MemberState.values()[state]);
    }

    private static void requireFields(int fields, int expected) {
        if (fields != expected) {
            throw new MalformedMessageException(
                    fields + " fields in a membership message or member, expected " + expected);
        }
    }
}
