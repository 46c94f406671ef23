package io.lagoonseam.bench.fleet;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests that two servers of one run never get the same port. */
public class FreePortsTest {

    private static final int PORTS = 1_500;

    @Test
    public void noPortIsGivenTwice() {
        Set<Integer> given = new HashSet<>();
        for (int index = 0; index < PORTS; index++) {
            given.add(FreePorts.find());
        }
        assertEquals(given.size(), PORTS);
    }
}
