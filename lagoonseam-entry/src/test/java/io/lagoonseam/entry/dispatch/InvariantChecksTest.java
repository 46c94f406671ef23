package io.lagoonseam.entry.dispatch;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.ClassStarvationMonitor;
import io.lagoonseam.core.admission.OfferResult;
import io.lagoonseam.core.admission.RefusedTicket;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.GenerationMonitor;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.time.ManualTimeSource;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.lagoonseam.entry.upstream.PlainAnswer;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks that each run-time invariant check records a violation when a test double or a call sequence breaks it. */
public final class InvariantChecksTest {

    private static Ticket ticket(String id, Tier tier, boolean idempotent) {
        RequestClass requestClass = new RequestClass(
                tier.label(), "studio-app", "level", tier, idempotent, Optional.empty(), Optional.empty());
        ServiceLevel level = new ServiceLevel("level", 800, 27, 5_000, 1_000, 10, 10);
        return new Ticket(id, "regina", requestClass, level, 0, 5_000);
    }

    private static InvariantMonitor monitor() {
        return new InvariantMonitor(new NoopEventSink());
    }

    public static final class Queues {

        /**
         * Refuses every request, although it reports that a request of a lower tier could be shed for an urgent one.
         */
        private static final class SheddingAdmission implements AdmissionController {

            @Override
            public OfferResult offer(Ticket offered) {
                return new OfferResult.Refused(
                        Refusal.builder(EventCode.QUEUE_FULL, 503).build());
            }

            @Override
            public boolean canShedForUrgent() {
                return true;
            }

            @Override
            public Optional<Ticket> poll(long nowMillis) {
                return Optional.empty();
            }

            @Override
            public List<RefusedTicket> expire(long nowMillis) {
                return List.of();
            }

            @Override
            public boolean cancel(String id) {
                return false;
            }

            @Override
            public int size() {
                return 0;
            }
        }

        @Test
        public void detectsUrgentShedForLowerTier() {
            InvariantMonitor invariants = monitor();
            AdmissionQueue queue =
                    new AdmissionQueue(new SheddingAdmission(), invariants, new RouterMetrics(new MetricRegistry()));
            queue.offer(new WaitingRequest(ticket("urgent", Tier.URGENT, true)), 0);
            assertEquals(invariants.violations(Invariant.URGENT_NEVER_SHED), 1);
        }

        @Test
        public void detectsClassThatIsNeverServed() {
            InvariantMonitor invariants = monitor();
            ClassStarvationMonitor watch = new ClassStarvationMonitor(invariants);
            watch.queued(ticket("forgotten", Tier.BATCH, true), 0);
            for (int start = 0; start < 1_000; start++) {
                Ticket served = ticket("served-" + start, Tier.URGENT, true);
                watch.queued(served, 2 * start);
                watch.started(served, 2 * start);
            }
            assertEquals(invariants.violations(Invariant.EVERY_CLASS_SERVED), 1);
        }
    }

    public static final class Upstreams {

        @Test
        public void detectsWorkForLeavingUpstream() {
            InvariantMonitor invariants = monitor();
            ManualTimeSource time = new ManualTimeSource();
            LeavingUpstreamCheck check = new LeavingUpstreamCheck(time, invariants);
            check.updateLeaving(Set.of("e1"));
            time.advanceMillis(2_000);
            check.checkSend("e1");
            assertEquals(invariants.violations(Invariant.LEAVING_GETS_NO_WORK), 0);
            time.advanceMillis(1);
            check.checkSend("e1");
            assertEquals(invariants.violations(Invariant.LEAVING_GETS_NO_WORK), 1);
        }
    }

    public static final class Generations {

        @Test
        public void detectsLowerGeneration() {
            InvariantMonitor invariants = monitor();
            GenerationMonitor watch = new GenerationMonitor(invariants);
            watch.recordInForce(7);
            watch.recordInForce(8);
            assertEquals(invariants.totalViolations(), 0);
            watch.recordInForce(7);
            assertEquals(invariants.violations(Invariant.GENERATION_NEVER_FALLS), 1);
        }
    }

    public static final class Runners {

        private Vertx vertx;

        @BeforeClass
        public void start() {
            vertx = Vertx.vertx();
        }

        @AfterClass
        public void stop() {
            vertx.close().await();
        }

        private Dispatcher dispatcher(InvariantMonitor invariants) {
            return new Dispatcher(new DispatchEnvironment(
                    Runnable::run,
                    new ManualTimeSource(),
                    null,
                    null,
                    new RouterMetrics(new MetricRegistry()),
                    invariants,
                    new NoopEventSink(),
                    ServicePolicies.standard(),
                    1));
        }

        /** Sends a request and then ends it with the verdict not_run. */
        private static final class FalseNotRunRunner extends AbstractRequestRunner {

            private FalseNotRunRunner(Dispatcher dispatcher, Ticket ticket, Context context) {
                super(dispatcher, ticket, context, new NoopSink());
            }

            @Override
            void attempt(Upstream chosen) {
                markSent();
                endWithRefusal(Refusal.builder(EventCode.NO_UPSTREAM, 503).build());
            }

            @Override
            void cancelAttempt(Upstream held) {
                // No attempt was started.
            }
        }

        /** Marks a request as sent twice. */
        private static final class DoubleSendRunner extends AbstractRequestRunner {

            private DoubleSendRunner(Dispatcher dispatcher, Ticket ticket, Context context) {
                super(dispatcher, ticket, context, new NoopSink());
            }

            @Override
            void attempt(Upstream chosen) {
                markSent();
                markSent();
            }

            @Override
            void cancelAttempt(Upstream held) {
                // No attempt was started.
            }
        }

        private void onContext(Context context, Runnable action) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            context.runOnContext(ignored -> {
                try {
                    action.run();
                    done.complete(null);
                } catch (RuntimeException e) {
                    done.completeExceptionally(e);
                }
            });
            done.join();
        }

        @Test
        public void detectsFalseNotRun() {
            InvariantMonitor invariants = monitor();
            Context context = vertx.getOrCreateContext();
            FalseNotRunRunner runner =
                    new FalseNotRunRunner(dispatcher(invariants), ticket("lie", Tier.URGENT, false), context);
            onContext(context, () -> runner.attempt(null));
            assertEquals(invariants.violations(Invariant.NOT_RUN_IS_TRUE), 1);
        }

        @Test
        public void detectsOutOfOrderToken() {
            InvariantMonitor invariants = monitor();
            Context context = vertx.getOrCreateContext();
            GenerateRequest request = new GenerateRequest("gap", 0, Buffer.buffer(), "prompt", 1_000);
            ModelRequestRunner runner = new ModelRequestRunner(
                    dispatcher(invariants),
                    new ModelRequest(ticket("gap", Tier.URGENT, true), request, context, new NoopSink()));
            onContext(context, () -> runner.token(null, 1, "second"));
            assertEquals(invariants.violations(Invariant.OWN_ANSWER_WHOLE), 1);
        }

        @Test
        public void detectsNonIdempotentRequestSentTwice() {
            InvariantMonitor invariants = monitor();
            Context context = vertx.getOrCreateContext();
            DoubleSendRunner runner =
                    new DoubleSendRunner(dispatcher(invariants), ticket("twice", Tier.URGENT, false), context);
            onContext(context, () -> runner.attempt(null));
            assertEquals(invariants.violations(Invariant.AT_MOST_ONCE), 1);
        }

        @Test
        public void allowsIdempotentRequestSentTwice() {
            InvariantMonitor invariants = monitor();
            Context context = vertx.getOrCreateContext();
            DoubleSendRunner runner =
                    new DoubleSendRunner(dispatcher(invariants), ticket("again", Tier.URGENT, true), context);
            onContext(context, () -> runner.attempt(null));
            assertEquals(invariants.totalViolations(), 0);
        }
    }

    private static final class NoopSink implements AnswerSink {

        @Override
        public void token(String text) {
            // The test does not check answers.
        }

        @Override
        public void completed(int tokens) {
            // The test does not check answers.
        }

        @Override
        public void answered(PlainAnswer answer) {
            // The test does not check answers.
        }

        @Override
        public void refused(Refusal refusal) {
            // The test does not check answers.
        }
    }
}
