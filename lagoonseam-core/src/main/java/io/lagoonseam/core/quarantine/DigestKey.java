package io.lagoonseam.core.quarantine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.List;

/**
 * The key of the digests of requests, which is the same on all nodes and known to no caller, so that none can construct
 * a request that is taken for another one.
 *
 * @param seed a random number
 * @param secretSeed a random number
 * @param createdMillis when it was drawn, in Unix milliseconds
 */
public record DigestKey(long seed, long secretSeed, long createdMillis) {

    /**
     * Draws a key.
     *
     * @param createdMillis the current time, in Unix milliseconds
     * @return the key
     */
    public static DigestKey draw(long createdMillis) {
        SecureRandom random = new SecureRandom();
        return new DigestKey(random.nextLong(), random.nextLong(), createdMillis);
    }

    /**
     * Returns which of two keys nodes agree on.
     *
     * @param other another key
     * @return true if it is this one
     */
    public boolean precedes(DigestKey other) {
        return createdMillis != other.createdMillis ? createdMillis < other.createdMillis : seed < other.seed;
    }

    /**
     * Returns the digest of a request.
     *
     * @param host the host that it addresses
     * @param uri its path and query
     * @param caller its caller
     * @param body the parts of its body, which are backed by arrays; into how many it is split does not matter
     * @return the digest
     */
    public long digest(String host, String uri, String caller, List<ByteBuffer> body) {
        HashStream64 stream = Hashing.wyhashFinal4(seed, secretSeed).hashStream();
        stream.putString(host).putString(uri).putString(caller);
        int length = 0;
        for (ByteBuffer part : body) {
            stream.putBytes(part.array(), part.arrayOffset() + part.position(), part.remaining());
            length += part.remaining();
        }
        return stream.putInt(length).getAsLong();
    }
}
