package io.lagoonseam.standin.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;

/** What an engine was ordered to hold: models with versions and adapters, and its role. */
final class EngineOrders {

    private final boolean checksFencing;
    private final Map<String, LoadedModel> models = new TreeMap<>();
    private final JsonArray history = new JsonArray();
    private long highestFencing;
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

    void loadAtStart(String modelAndVersion) {
        String[] parts = modelAndVersion.split("@", 2);
        models.put(parts[0], new LoadedModel(parts.length == 2 ? parts[1] : "1", new JsonArray(), "ready"));
    }

    boolean accepts(long fencing) {
        return !checksFencing || fencing >= highestFencing;
    }

    /** Takes an order and returns the models that must now be loaded. */
    JsonArray accept(JsonObject order) {
        highestFencing = Math.max(highestFencing, order.getLong("fencing", 0L));
        history.add(new JsonObject()
                .put("fencing", order.getLong("fencing", 0L))
                .put("models", order.getJsonArray("models")));
        role = order.getString("role", role);
        JsonArray wanted = order.getJsonArray("models", new JsonArray());
        JsonArray toLoad = new JsonArray();
        Map<String, LoadedModel> next = new TreeMap<>();
        for (int index = 0; index < wanted.size(); index++) {
            JsonObject model = wanted.getJsonObject(index);
            String name = model.getString("name");
            String version = model.getString("version", "1");
            LoadedModel held = models.get(name);
            if (held != null && held.version.equals(version)) {
                next.put(name, held);
            } else {
                next.put(name, new LoadedModel(version, model.getJsonArray("adapters", new JsonArray()), "loading"));
                toLoad.add(model);
            }
        }
        models.clear();
        models.putAll(next);
        return toLoad;
    }

    void finishLoad(String name, String version, boolean loaded) {
        LoadedModel held = models.get(name);
        if (held != null && held.version.equals(version)) {
            held.state = loaded ? "ready" : "failed";
            if (!loaded) {
                models.remove(name);
            }
        }
    }

    boolean isReady(String name) {
        LoadedModel held = models.get(name);
        return held != null && "ready".equals(held.state) && "serve".equals(role);
    }

    JsonArray readyModels() {
        JsonArray ready = new JsonArray();
        models.keySet().stream().filter(this::isReady).forEach(ready::add);
        return ready;
    }

    JsonObject state() {
        JsonArray list = new JsonArray();
        for (String name : new ArrayList<>(models.keySet())) {
            LoadedModel held = models.get(name);
            list.add(new JsonObject()
                    .put("name", name)
                    .put("version", held.version)
                    .put("adapters", held.adapters)
                    .put("state", held.state));
        }
        return new JsonObject()
                .put("fencing", highestFencing)
                .put("role", role)
                .put("models", list)
                .put("history", history);
    }
}
