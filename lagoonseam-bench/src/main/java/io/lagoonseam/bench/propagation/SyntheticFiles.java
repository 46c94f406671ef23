package io.lagoonseam.bench.propagation;

import io.lagoonseam.entry.configuration.SourceFile;
import java.util.List;

/**
 * Creates file sets with many workspaces. The limits named {@link #MARKER} carry the number of the change as their
 * rate.
 */
final class SyntheticFiles {

    static final String MARKER = "marker";

    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final String HASH = "ab".repeat(32);

    private SyntheticFiles() {}

    static List<SourceFile> of(int workspaces, long marker) {
        StringBuilder text = new StringBuilder("""
                {kind: Service, name: care-llm, type: model, silenceMillis: 2000}
                ---
                kind: ServiceLevel
                name: level
                firstTokenMillis: 820
                betweenTokensMillis: 27
                deadlineMillis: 20000
                longestWaitMillis: 20000
                weight: 10
                queueCapacity: 100
                ---
                kind: RequestClass
                name: aftercare
                service: care-llm
                serviceLevel: level
                tier: urgent
                idempotent: true
                ---
                """);
        text.append("{kind: Limits, name: " + MARKER + ", requestsPerSecond: ").append(marker);
        text.append(", tokensPerSecond: 1, concurrency: 1}\n");
        for (int index = 0; index < workspaces; index++) {
            text.append("---\n{kind: Workspace, name: studio-").append(index).append(", classes: [aftercare]}\n");
            text.append("---\n{kind: Key, name: studio-")
                    .append(index)
                    .append(", workspace: studio-")
                    .append(index);
            text.append(", saltHex: \"" + SALT + "\", hashHex: \"" + HASH + "\"}\n");
        }
        return List.of(new SourceFile("all.yaml", text.toString()));
    }
}
