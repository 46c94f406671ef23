package io.lagoonseam.entry.caller;

import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Workspace;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Finds the class of a request by its path, header and model. */
final class RequestClassifier {

    private RequestClassifier() {}

    /**
     * What the class depends on.
     *
     * @param path the path of the request
     * @param chosenClass the class that the caller chose, or null
     * @param service the service of the request
     * @param model the model of the request, or null for a plain service
     */
    record Traits(String path, String chosenClass, String service, String model) {}

    static Optional<RequestClass> classify(Workspace workspace, FileSet fileSet, Traits traits) {
        return workspace.classes().stream()
                .filter(name -> traits.chosenClass() == null || name.equals(traits.chosenClass()))
                .map(name -> fileSet.classes().get(name))
                .filter(Objects::nonNull)
                .filter(candidate -> fits(candidate, traits))
                .findFirst();
    }

    private static boolean fits(RequestClass candidate, Traits traits) {
        boolean modelFits =
                candidate.model().isEmpty() || candidate.model().get().equals(traits.model());
        boolean pathFits = candidate.pathPrefix().isEmpty()
                || traits.path().startsWith(candidate.pathPrefix().get());
        return candidate.service().equals(traits.service()) && modelFits && pathFits;
    }

    static List<String> known(Workspace workspace, FileSet fileSet, String service) {
        return workspace.classes().stream()
                .map(name -> fileSet.classes().get(name))
                .filter(Objects::nonNull)
                .filter(candidate -> candidate.service().equals(service))
                .map(RequestClass::name)
                .toList();
    }
}
