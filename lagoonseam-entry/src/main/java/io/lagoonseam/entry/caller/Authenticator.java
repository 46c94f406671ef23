package io.lagoonseam.entry.caller;

import io.lagoonseam.core.configuration.ApiKey;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Workspace;
import io.lagoonseam.entry.configuration.KeyHash;
import java.util.Optional;

/** Resolves the API key of a request to its workspace. */
final class Authenticator {

    private static final String BEARER = "Bearer ";

    private Authenticator() {}

    /** Returns the workspace of a valid {@code Bearer NAME.SECRET} header, or empty if the key is missing or wrong. */
    static Optional<Workspace> workspaceOf(String authorization, FileSet fileSet) {
        if (authorization == null || !authorization.startsWith(BEARER)) {
            return Optional.empty();
        }
        String apiKey = authorization.substring(BEARER.length()).trim();
        int dot = apiKey.indexOf('.');
        if (dot < 0) {
            return Optional.empty();
        }
        ApiKey key = fileSet.keys().get(apiKey.substring(0, dot));
        if (key == null || !KeyHash.matches(key, apiKey.substring(dot + 1))) {
            return Optional.empty();
        }
        return Optional.ofNullable(fileSet.workspaces().get(key.workspace()));
    }
}
