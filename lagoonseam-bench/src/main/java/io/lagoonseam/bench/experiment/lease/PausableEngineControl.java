package io.lagoonseam.bench.experiment.lease;

import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.placement.EngineControl;
import io.lagoonseam.core.placement.EngineOrder;
import io.lagoonseam.core.placement.EngineState;
import io.lagoonseam.core.placement.OrderResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Holds orders back while its node is paused, so that they leave after the lease was lost. */
final class PausableEngineControl implements EngineControl {

    private final EngineControl target;
    private final boolean holdsOrders;
    private final List<Runnable> heldBack = new ArrayList<>();
    private boolean paused;
    private long sentLate;

    PausableEngineControl(EngineControl target, boolean holdsOrders) {
        this.target = target;
        this.holdsOrders = holdsOrders;
    }

    synchronized boolean isPaused() {
        return paused;
    }

    synchronized long sentLate() {
        return sentLate;
    }

    synchronized void pause() {
        paused = true;
    }

    void resume() {
        List<Runnable> released;
        synchronized (this) {
            paused = false;
            released = List.copyOf(heldBack);
            heldBack.clear();
            sentLate += released.size();
        }
        released.forEach(Runnable::run);
    }

    @Override
    public CompletionStage<Optional<EngineState>> read(Upstream engine) {
        return target.read(engine);
    }

    @Override
    public CompletionStage<OrderResult> order(Upstream engine, EngineOrder order) {
        CompletableFuture<OrderResult> result = new CompletableFuture<>();
        Runnable sending = () -> target.order(engine, order).thenAccept(result::complete);
        synchronized (this) {
            if (paused && holdsOrders) {
                heldBack.add(sending);
                return result;
            }
        }
        sending.run();
        return result;
    }
}
