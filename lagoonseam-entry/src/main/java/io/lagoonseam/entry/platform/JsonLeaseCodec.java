package io.lagoonseam.entry.platform;

import io.lagoonseam.core.placement.LeaseCodec;
import io.lagoonseam.core.placement.LeaseRecord;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;

/** Keeps leases as JSON. */
public final class JsonLeaseCodec implements LeaseCodec {

    @Override
    public byte[] encode(LeaseRecord lease) {
        return new JsonObject()
                .put("holder", lease.holder())
                .put("fencing", lease.fencing())
                .put("token", lease.token())
                .put("durationMillis", lease.durationMillis())
                .toBuffer()
                .getBytes();
    }

    @Override
    public LeaseRecord decode(byte[] value) {
        JsonObject json = new JsonObject(Buffer.buffer(value));
        return new LeaseRecord(
                json.getString("holder"),
                json.getLong("fencing"),
                json.getString("token"),
                json.getLong("durationMillis"));
    }
}
