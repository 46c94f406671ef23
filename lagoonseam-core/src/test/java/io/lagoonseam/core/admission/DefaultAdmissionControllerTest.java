package io.lagoonseam.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class DefaultAdmissionControllerTest {

    private static Ticket ticket(String id, Tier tier, long arrivalMillis, int queueCapacity) {
        RequestClass requestClass =
                new RequestClass(tier.label(), "care-llm", "level", tier, true, Optional.empty(), Optional.empty());
        ServiceLevel level = new ServiceLevel("level", 800, 27, 5_000, 10_000, 10, queueCapacity);
        return new Ticket(id, "regina", requestClass, level, arrivalMillis, arrivalMillis + 5_000);
    }

    public static final class Poll {

        private DefaultAdmissionController admission;

        @BeforeMethod
        public void create() {
            admission = new DefaultAdmissionController();
        }

        @Test
        public void servesUrgentFirst() {
            admission.offer(ticket("batch", Tier.BATCH, 0, 10));
            admission.offer(ticket("urgent", Tier.URGENT, 100, 10));
            assertEquals(admission.poll(200).orElseThrow().id(), "urgent");
            assertEquals(admission.poll(200).orElseThrow().id(), "batch");
            assertTrue(admission.poll(200).isEmpty());
        }

        @Test
        public void servesAgedClassBeforeUrgentClass() {
            admission.offer(ticket("batch", Tier.BATCH, 0, 10));
            admission.offer(ticket("urgent", Tier.URGENT, 4_900, 10));
            assertEquals(admission.poll(5_000).orElseThrow().id(), "batch");
        }
    }

    public static final class Bounds {

        private DefaultAdmissionController admission;

        @BeforeMethod
        public void create() {
            admission = new DefaultAdmissionController();
        }

        @Test
        public void refusesBeyondCapacity() {
            admission.offer(ticket("first", Tier.LOW, 0, 1));
            assertTrue(admission.offer(ticket("second", Tier.LOW, 0, 1)) instanceof OfferResult.Refused);
            assertEquals(admission.size(), 1);
        }

        @Test
        public void expiresAtDeadline() {
            admission.offer(ticket("late", Tier.LOW, 0, 1));
            assertTrue(admission.expire(4_999).isEmpty());
            assertEquals(admission.expire(5_000).get(0).ticket().id(), "late");
            assertEquals(admission.size(), 0);
        }

        @Test
        public void cancelsOnce() {
            admission.offer(ticket("gone", Tier.LOW, 0, 1));
            assertTrue(admission.cancel("gone"));
            assertFalse(admission.cancel("gone"));
        }
    }
}
