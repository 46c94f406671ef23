package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which bodies are read on while more of them arrive than there is room for. */
public class BodyMemoryTest {

    private static final long CAPACITY = 8L << 20;
    private static final long LARGEST = 1L << 20;
    private static final int PIECE = 16_384;
    private static final int URGENT = 0;
    private static final int USUAL = 5;

    private BodyMemory memory;

    /** One body that arrives piece by piece as long as it is read. */
    private final class Arriving implements BodyMemory.Reader {

        private final BodyMemory.Claim claim;
        private final int priority;
        private final long size;
        private long arrived;
        private boolean reads = true;
        private boolean refused;

        Arriving(int priority, long size, boolean declared) {
            this.size = size;
            this.priority = priority;
            this.claim = memory.begin(priority, declared ? size : -1, this);
        }

        void arrive() {
            if (reads && arrived < size) {
                arrived = Math.min(size, arrived + PIECE);
                reads = claim.grow(arrived);
                if (arrived == size) {
                    claim.complete();
                }
            }
        }

        boolean read() {
            return arrived == size;
        }

        @Override
        public void onRoom() {
            reads = true;
        }

        @Override
        public void onRefused() {
            refused = true;
            reads = false;
            claim.end();
        }
    }

    @BeforeMethod
    public void create() {
        memory = new BodyMemory(CAPACITY, () -> LARGEST);
    }

    private List<Arriving> arriving(int count, int priority, long size) {
        List<Arriving> bodies = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            bodies.add(new Arriving(priority, size, index % 2 == 0));
        }
        return bodies;
    }

    /** Guards against bodies that together occupy more memory than there is (review, case 7). */
    @Test
    public void allBodiesTogetherStayWithinTheMemory() {
        Random random = new Random(7);
        List<Arriving> bodies = arriving(200, USUAL, LARGEST);
        for (int step = 0; step < 50_000; step++) {
            bodies.get(random.nextInt(bodies.size())).arrive();
            assertTrue(memory.bytes() <= CAPACITY, memory.bytes() + " bytes");
        }
    }

    /** Guards against many bodies that are read in part and keep each other from being read completely. */
    @Test
    public void oneBodyAfterTheOtherIsReadWhateverItsSize() {
        Random random = new Random(8);
        List<Arriving> bodies = arriving(16, USUAL, LARGEST);
        int served = 0;
        for (int step = 0; step < 50_000 && !bodies.isEmpty(); step++) {
            Arriving body = bodies.get(random.nextInt(bodies.size()));
            body.arrive();
            if (body.read()) {
                // its request has been answered
                body.claim.end();
                bodies.remove(body);
                served++;
            }
        }
        assertEquals(served, 16);
    }

    /** Guards against an urgent request that is refused since less urgent ones have been read in part. */
    @Test
    public void anUrgentBodyIsReadThoughLessUrgentOnesWait() {
        List<Arriving> usual = arriving(24, USUAL, LARGEST);
        for (int step = 0; step < 100; step++) {
            usual.forEach(Arriving::arrive);
        }
        assertFalse(usual.get(usual.size() - 1).read(), "there is no room");
        for (Arriving body : arriving(4, URGENT, LARGEST)) {
            for (int step = 0; step < 100; step++) {
                body.arrive();
            }
            assertTrue(body.read());
            assertFalse(body.refused);
            body.claim.end();
        }
    }

    /** Guards against an urgent request that is refused while less urgent ones wait. */
    @Test
    public void ofTooManyThatWaitTheLeastUrgentIsRefused() {
        List<Arriving> bodies = new ArrayList<>();
        for (int index = 0; index < 60; index++) {
            bodies.add(new Arriving(index % 2 == 0 ? USUAL : URGENT, LARGEST, index % 3 == 0));
        }
        for (int step = 0; step < 100; step++) {
            bodies.forEach(Arriving::arrive);
        }
        assertTrue(bodies.stream().anyMatch(body -> body.refused));
        long urgentRefused = bodies.stream()
                .filter(body -> body.priority == URGENT && body.refused)
                .count();
        long usualLeft = bodies.stream()
                .filter(body -> body.priority == USUAL && !body.refused && !body.reads && !body.read())
                .count();
        assertTrue(urgentRefused == 0 || usualLeft == 0, urgentRefused + " urgent refused, " + usualLeft + " wait");
    }

    /** Guards against an urgent body that waits while a less urgent one, which began to wait after it, holds memory. */
    @Test
    public void aLessUrgentBodyThatBeginsToWaitIsRefusedForAnUrgentOneThatWaits() {
        Arriving usual = new Arriving(USUAL, LARGEST, false);
        for (int step = 0; step < 10; step++) {
            usual.arrive();
        }
        List<Arriving> urgent = arriving(12, URGENT, LARGEST);
        for (int step = 0; step < 100; step++) {
            urgent.forEach(Arriving::arrive);
        }
        assertTrue(urgent.stream().anyMatch(body -> !body.reads && !body.read()), "urgent bodies wait");
        usual.arrive();
        assertTrue(usual.refused, "the less urgent body holds " + usual.arrived + " bytes");
    }

    @Test
    public void whatIsReleasedIsThereAgain() {
        List<Arriving> bodies = arriving(8, USUAL, LARGEST);
        for (int step = 0; step < 100; step++) {
            bodies.forEach(Arriving::arrive);
        }
        bodies.forEach(body -> body.claim.end());
        bodies.forEach(body -> body.claim.end());
        assertEquals(memory.bytes(), 0);
    }
}
