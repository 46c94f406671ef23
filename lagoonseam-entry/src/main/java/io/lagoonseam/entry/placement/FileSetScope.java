package io.lagoonseam.entry.placement;

import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Model;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Service;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.placement.ModelTarget;
import io.lagoonseam.core.placement.PlacementScope;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** What the file set in force and the demand seen want of one service. */
final class FileSetScope implements PlacementScope {

    private final String service;
    private final Supplier<Optional<FileSet>> fileSet;
    private final Supplier<Map<String, Double>> demand;

    FileSetScope(String service, Supplier<Optional<FileSet>> fileSet, Supplier<Map<String, Double>> demand) {
        this.service = service;
        this.fileSet = fileSet;
        this.demand = demand;
    }

    @Override
    public List<Upstream> engines() {
        return fileSet.get()
                .map(files -> files.upstreams().values().stream()
                        .filter(upstream -> upstream.service().equals(service))
                        .toList())
                .orElse(List.of());
    }

    @Override
    public List<ModelTarget> targets() {
        return fileSet.get()
                .map(files -> files.models().values().stream()
                        .filter(model -> model.service().equals(service) && model.isPlaced())
                        .map(model -> target(model, files))
                        .toList())
                .orElse(List.of());
    }

    private static ModelTarget target(Model model, FileSet files) {
        boolean urgent = files.classes().values().stream()
                .filter(requestClass -> requestClass.tier() == Tier.URGENT)
                .anyMatch(requestClass -> uses(requestClass, model));
        return new ModelTarget(model.name(), model.version(), model.leastWorkers(), model.mostWorkers(), urgent);
    }

    private static boolean uses(RequestClass requestClass, Model model) {
        return requestClass.service().equals(model.service())
                && requestClass.model().map(model.name()::equals).orElse(true);
    }

    @Override
    public Map<String, Double> demand() {
        return demand.get();
    }

    @Override
    public boolean enginesCheckFencing() {
        return fileSet.get()
                .map(files -> files.services().get(service))
                .map(Service::checksFencing)
                .orElse(false);
    }
}
