package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.operation.BeginResult;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Words to those who wait, gathered under a lock and sent without it. */
final class Notices {

    private record Notice(CompletableFuture<BeginResult> receiver, BeginResult word) {}

    private final List<Notice> notices = new ArrayList<>();

    void add(CompletableFuture<BeginResult> receiver, BeginResult word) {
        notices.add(new Notice(receiver, word));
    }

    void send() {
        notices.forEach(notice -> notice.receiver().complete(notice.word()));
    }
}
