package io.lagoonseam.core.placement;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class LeaseKeeperTest {

    public static final class RandomRuns {

        private static final int STEPS = 5_000;

        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
        }

        @Test(dataProvider = "seeds")
        public void neverHaveTwoHolders(long seed) {
            Random random = new Random(seed);
            LeaseWorld world = new LeaseWorld(3);
            for (int step = 0; step < STEPS; step++) {
                world.act(random.nextInt(LeaseWorld.actions(3)));
            }
        }

        @Test
        public void someNodeTakesTheLeaseOnceThePlatformAnswers() {
            LeaseWorld world = new LeaseWorld(2);
            for (int round = 0; round < 20 && !world.isHeld(); round++) {
                world.act(0);
                world.act(1);
                world.act(4);
            }
            assertTrue(world.isHeld());
        }
    }

    public static final class ExhaustiveSearch {

        private static final int DEPTH = 6;

        @Test
        public void everySequenceOfTwoNodesIsSafe() {
            int actions = LeaseWorld.actions(2);
            long sequences = Math.round(Math.pow(actions, DEPTH));
            for (long sequence = 0; sequence < sequences; sequence++) {
                LeaseWorld world = new LeaseWorld(2);
                world.act(0);
                long rest = sequence;
                for (int step = 0; step < DEPTH; step++) {
                    world.act((int) (rest % actions));
                    rest /= actions;
                }
            }
        }
    }
}
