package io.lagoonseam.standin.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;

/** Holds the models, with their versions and adapters, and the role that an engine was ordered to have. */
final class EngineOrders {

    private final boolean checksFencing;
    private final Map<String, LoadedModel> models = new TreeMap<>();
    private final JsonArray history = new JsonArray();
    private long highestFencingToken;
    private String role = "serve";

    EngineOrders(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    private static final class LoadedModel {
        private final String version;
        private final JsonArray adapters;
        private String state;

        private LoadedModel(String version, JsonArray adapters, String state) {
            this.version = version;
            this.adapters = adapters;
            this.state = state;
        }
    }

    void addReadyModel(String modelAndVersion) {
        String[] parts = modelAndVersion.split("@", 2);
        models.put(parts[0], new LoadedModel(parts.length == 2 ? parts[1] : "1", new JsonArray(), "ready"));
    }

    boolean isCurrent(long fencingToken) {
        return !checksFencing || fencingToken >= highestFencingToken;
    }

    /** Applies an order and returns the models that must be loaded for it. */
    JsonArray apply(JsonObject order) {
        highestFencingToken = Math.max(highestFencingToken, order.getLong("fencing", 0L));
        history.add(new JsonObject()
                .put("fencing", order.getLong("fencing", 0L))
                .put("models", order.getJsonArray("models")));
        role = order.getString("role", role);
        JsonArray orderedModels = order.getJsonArray("models", new JsonArray());
        JsonArray toLoad = new JsonArray();
        Map<String, LoadedModel> updated = new TreeMap<>();
        for (int index = 0; index < orderedModels.size(); index++) {
            JsonObject model = orderedModels.getJsonObject(index);
            String name = model.getString("name");
            String version = model.getString("version", "1");
            LoadedModel loaded = models.get(name);
            if (loaded != null && loaded.version.equals(version)) {
                updated.put(name, loaded);
            } else {
                updated.put(name, new LoadedModel(version, model.getJsonArray("adapters", new JsonArray()), "loading"));
                toLoad.add(model);
            }
        }
        models.clear();
        models.putAll(updated);
        return toLoad;
    }

    void finishLoad(String name, String version, boolean succeeded) {
        LoadedModel loaded = models.get(name);
        if (loaded != null && loaded.version.equals(version)) {
            loaded.state = succeeded ? "ready" : "failed";
            if (!succeeded) {
                models.remove(name);
            }
        }
    }

    boolean isReady(String name) {
        LoadedModel loaded = models.get(name);
        return loaded != null && "ready".equals(loaded.state) && "serve".equals(role);
    }

    JsonArray readyModels() {
        JsonArray ready = new JsonArray();
        models.keySet().stream().filter(this::isReady).forEach(ready::add);
        return ready;
    }

    JsonObject state() {
        JsonArray list = new JsonArray();
        for (String name : new ArrayList<>(models.keySet())) {
            LoadedModel loaded = models.get(name);
            list.add(new JsonObject()
                    .put("name", name)
                    .put("version", loaded.version)
                    .put("adapters", loaded.adapters)
                    .put("state", loaded.state));
        }
        return new JsonObject()
                .put("fencing", highestFencingToken)
                .put("role", role)
                .put("models", list)
                .put("history", history);
    }
}
