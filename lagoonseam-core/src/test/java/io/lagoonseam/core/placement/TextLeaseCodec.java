package io.lagoonseam.core.placement;

import java.nio.charset.StandardCharsets;

/** Leases as lines of text. */
final class TextLeaseCodec implements LeaseCodec {

    @Override
    public byte[] encode(LeaseRecord lease) {
        String text = lease.holder() + "\n" + lease.fencing() + "\n" + lease.token() + "\n" + lease.durationMillis();
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public LeaseRecord decode(byte[] value) {
        String[] lines = new String(value, StandardCharsets.UTF_8).split("\n", -1);
        return new LeaseRecord(lines[0], Long.parseLong(lines[1]), lines[2], Long.parseLong(lines[3]));
    }
}
