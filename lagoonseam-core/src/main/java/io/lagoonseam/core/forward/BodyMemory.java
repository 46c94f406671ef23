package io.lagoonseam.core.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Decides which request bodies a node reads on, so that all of them together fit into its memory. It answers a load of
 * more large bodies at a time than there is room for.
 *
 * <p>Bodies are read in order, the most urgent one first, the oldest among equals: a body is read on as long as there
 * is room for what is expected of those before it, and room for one body of the largest size is kept for the first. So
 * one body after the other is read completely, whatever its size, and few are read in part. A body that finds no room
 * waits while its caller is not read from. Bytes arrive before that takes effect, so a part of the memory is kept for
 * them; if too many bodies wait for that, the least urgent one, the newest among equals, is refused. No body waits
 * while a less urgent one does: that one is refused, since it has not run. Not thread-safe.
 */
public final class BodyMemory {

    /** What arrives of a body before its caller is not read from, in bytes: the receive buffer of a connection. */
    private static final long WAITING_BYTES = 65_536;

    /** The share of the memory that is kept for what arrives of waiting bodies. */
    private static final double WAITING_SHARE = 0.15;

    /** The largest share of the memory that is kept for the most urgent body. */
    private static final double MAX_RESERVED_SHARE = 0.5;

    private static final Comparator<Claim> ORDER =
            Comparator.<Claim>comparingInt(claim -> claim.priority).thenComparingLong(claim -> claim.number);

    private final long readingBytes;
    private final int maxWaiting;
    private final LongSupplier largestBodyBytes;
    private final TreeSet<Claim> reading = new TreeSet<>(ORDER);
    private final TreeSet<Claim> waiting = new TreeSet<>(ORDER);
    private long bytes;
    /** What is expected of all bodies that are being read, besides what they hold. */
    private long outstandingBytes;

    private long claims;

    /** Says what becomes of a body. Called within a call of another claim's method, or of the claim's own. */
    public interface Reader {

        /** The body that waits may be read on. */
        void onRoom();

        /** The body that waits is refused; its claim has to be ended within the call. */
        void onRefused();
    }

    /**
     * Creates a memory without bodies.
     *
     * @param capacityBytes the memory for all bodies together, in bytes
     * @param largestBodyBytes supplies the size of the largest body that is accepted, in bytes
     */
    public BodyMemory(long capacityBytes, LongSupplier largestBodyBytes) {
        this.readingBytes = Math.round((1 - WAITING_SHARE) * capacityBytes);
        this.maxWaiting = (int) Math.max(1, Math.round(WAITING_SHARE * capacityBytes / WAITING_BYTES));
        this.largestBodyBytes = largestBodyBytes;
    }

    /**
     * Begins to read a body.
     *
     * @param priority the priority of the request; 0 is the most urgent
     * @param declaredBytes the length that its caller has stated, in bytes; negative if it has stated none
     * @param reader is told what becomes of the body
     * @return the claim of the body, which has to be ended
     */
    public Claim begin(int priority, long declaredBytes, Reader reader) {
        claims++;
        Claim claim = new Claim(priority, claims, declaredBytes, reader);
        reading.add(claim);
        outstandingBytes += claim.outstanding();
        return claim;
    }

    /**
     * Returns what the bodies occupy.
     *
     * @return the number of bytes
     */
    public long bytes() {
        return bytes;
    }

    /** The memory that one body occupies. */
    public final class Claim {

        private final int priority;
        private final long number;
        private final long declaredBytes;
        private final long largest = largestBodyBytes.getAsLong();
        private final Reader reader;
        private long held;

        private Claim(int priority, long number, long declaredBytes, Reader reader) {
            this.priority = priority;
            this.number = number;
            this.declaredBytes = declaredBytes;
            this.reader = reader;
        }

        /**
         * Records what the body occupies by now, while it is being read.
         *
         * @param heldBytes the memory that it occupies, in bytes
         * @return whether it may be read on; otherwise it waits, until the reader is told, which may have happened
         */
        public boolean grow(long heldBytes) {
            outstandingBytes -= outstanding();
            bytes += heldBytes - held;
            held = heldBytes;
            outstandingBytes += outstanding();
            if (waiting.contains(this)) {
                return false;
            }
            refuseLessUrgent(this);
            if (roomFor(this) > 0) {
                return true;
            }
            waiting.add(this);
            if (waiting.size() > maxWaiting) {
                waiting.last().reader.onRefused();
            }
            return false;
        }

        /** Returns what is expected besides what is held: as much once more of a body of unknown length. */
        private long outstanding() {
            if (declaredBytes >= 0) {
                return Math.max(0, declaredBytes - held);
            }
            return Math.max(0, Math.min(Math.max(held, WAITING_BYTES), largest - held));
        }

        /** Records that the body has been read completely. It occupies its memory until the claim is ended. */
        public void complete() {
            if (reading.remove(this)) {
                outstandingBytes -= outstanding();
            }
            waiting.remove(this);
            wake();
        }

        /** Releases the memory; further calls have no effect. */
        public void end() {
            bytes -= held;
            if (reading.remove(this)) {
                outstandingBytes -= outstanding();
            }
            held = 0;
            complete();
        }
    }

    /** Returns how much of a body may be read now; 0 or less if it has to wait. */
    private long roomFor(Claim claim) {
        long free = readingBytes - bytes;
        if (reading.isEmpty() || reading.first().equals(claim)) {
            return free;
        }
        long reserved = Math.min(largestBodyBytes.getAsLong(), Math.round(MAX_RESERVED_SHARE * readingBytes));
        long room = free - Math.max(0, reserved - reading.first().held);
        if (outstandingBytes <= room) {
            return room;
        }
        long before = 0;
        for (Claim earlier : reading.headSet(claim)) {
            before += earlier.outstanding();
            if (before >= free) {
                return 0;
            }
        }
        return Math.min(room, free - before);
    }

    private void refuseLessUrgent(Claim claim) {
        while (roomFor(claim) <= 0 && !waiting.isEmpty() && waiting.last().priority > claim.priority) {
            waiting.last().reader.onRefused();
        }
    }

    /** Has waiting bodies read on, each of which may bring what a connection has received. */
    private void wake() {
        List<Claim> woken = new ArrayList<>();
        long expectedBytes = 0;
        for (Claim claim : waiting) {
            if (roomFor(claim) <= expectedBytes) {
                break;
            }
            woken.add(claim);
            expectedBytes += WAITING_BYTES;
        }
        woken.forEach(waiting::remove);
        woken.forEach(claim -> claim.reader.onRoom());
    }
}
