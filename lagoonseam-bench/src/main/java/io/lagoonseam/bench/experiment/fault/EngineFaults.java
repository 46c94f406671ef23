package io.lagoonseam.bench.experiment.fault;

import io.lagoonseam.bench.experiment.policy.FaultScript;
import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Sets the faults of stand-in engines at scheduled times, through their {@code /faults} route. */
final class EngineFaults implements FaultScript {

    /** Index that selects every engine of the fleet. */
    static final int ALL = -1;

    private final List<Step> steps = new ArrayList<>();

    private record Step(long atMillis, int engine, JsonObject faults) {}

    /**
     * Adds a change of faults to the schedule.
     *
     * @param atMillis the time in milliseconds since the start of the traffic
     * @param engine the index of the engine in the order of names, from 0, or {@link #ALL}
     * @param faults the faults to set, values by name
     * @return this script
     */
    EngineFaults at(long atMillis, int engine, JsonObject faults) {
        steps.add(new Step(atMillis, engine, faults));
        return this;
    }

    @Override
    public void schedule(LocalFleet fleet) {
        Vertx vertx = fleet.vertx();
        HttpClient client = vertx.createHttpClient();
        List<ModelEngineStandIn> engines = List.copyOf(new TreeMap<>(fleet.engines()).values());
        for (Step step : steps) {
            List<ModelEngineStandIn> targets = step.engine() == ALL ? engines : List.of(engines.get(step.engine()));
            vertx.setTimer(step.atMillis(), timer -> targets.forEach(engine -> apply(client, engine, step.faults())));
        }
    }

    private static void apply(HttpClient client, ModelEngineStandIn engine, JsonObject faults) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(engine.url() + "/faults")
                .putHeader("Content-Type", "application/json");
        client.request(options).compose(request -> request.send(faults.toBuffer()));
    }
}
