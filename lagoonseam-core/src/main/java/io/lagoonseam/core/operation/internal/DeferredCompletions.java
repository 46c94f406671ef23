package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.operation.BeginResult;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Completions of futures that are collected under a lock and executed after the lock is released. */
final class DeferredCompletions {

    private record Completion(CompletableFuture<BeginResult> future, BeginResult result) {}

    private final List<Completion> completions = new ArrayList<>();

    void add(CompletableFuture<BeginResult> future, BeginResult result) {
        completions.add(new Completion(future, result));
    }

    void executeAll() {
        completions.forEach(completion -> completion.future().complete(completion.result()));
    }
}
