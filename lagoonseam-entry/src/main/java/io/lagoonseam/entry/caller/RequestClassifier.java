package io.lagoonseam.entry.caller;

import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Workspace;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Selects the request class of a request by its path, header, service and model. */
final class RequestClassifier {

    private RequestClassifier() {}

    /**
     * The properties of a request that determine its class.
     *
     * @param path the path of the request
     * @param requestedClass the name of the class in the caller's header, or null if the header is absent
     * @param service the name of the service
     * @param model the name of the model, or null for a plain service
     */
    record Traits(String path, String requestedClass, String service, String model) {}

    /** Returns the first class of the workspace that matches the request, or empty if none does. */
    static Optional<RequestClass> classify(Workspace workspace, FileSet fileSet, Traits traits) {
        return workspace.classes().stream()
                .filter(name -> traits.requestedClass() == null || name.equals(traits.requestedClass()))
                .map(name -> fileSet.classes().get(name))
                .filter(Objects::nonNull)
                .filter(candidate -> matches(candidate, traits))
                .findFirst();
    }

    private static boolean matches(RequestClass candidate, Traits traits) {
        boolean modelMatches =
                candidate.model().isEmpty() || candidate.model().get().equals(traits.model());
        boolean pathMatches = candidate.pathPrefix().isEmpty()
                || traits.path().startsWith(candidate.pathPrefix().get());
        return candidate.service().equals(traits.service()) && modelMatches && pathMatches;
    }

    /** Returns the names of the workspace's classes that belong to a service. */
    static List<String> classesOfService(Workspace workspace, FileSet fileSet, String service) {
        return workspace.classes().stream()
                .map(name -> fileSet.classes().get(name))
                .filter(Objects::nonNull)
                .filter(candidate -> candidate.service().equals(service))
                .map(RequestClass::name)
                .toList();
    }
}
