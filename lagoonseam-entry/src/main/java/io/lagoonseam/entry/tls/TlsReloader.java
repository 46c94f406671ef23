package io.lagoonseam.entry.tls;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reloads certificates and keys when their files change. */
public final class TlsReloader {

    private final Vertx vertx;
    private final TlsFiles files;
    private final Function<TlsFiles, Future<?>> reload;
    private final EventSink events;
    private long timer = -1;
    private String appliedState;

    /**
     * Creates a reloader.
     *
     * @param vertx the Vert.x instance
     * @param files the files to check for changes
     * @param reload reloads the certificates and keys from the changed files
     * @param events the sink of numbered events
     */
    public TlsReloader(Vertx vertx, TlsFiles files, Function<TlsFiles, Future<?>> reload, EventSink events) {
        this.vertx = vertx;
        this.files = files;
        this.reload = reload;
        this.events = events;
        this.appliedState = fileState(files);
    }

    /**
     * Starts the periodic check of the files.
     *
     * @param intervalMillis the time between two checks, in milliseconds
     */
    public void start(long intervalMillis) {
        timer = vertx.setPeriodic(
                intervalMillis,
                fired -> vertx.executeBlocking(() -> fileState(files)).onSuccess(this::reloadIfChanged));
    }

    /** Stops the periodic check. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    /** Returns the modification times and sizes of the files; a file that cannot be read has the state "unreadable". */
    private static String fileState(TlsFiles files) {
        return Stream.of(files.certificateFile(), files.keyFile(), files.authorityFile())
                .filter(file -> !file.isEmpty())
                .map(TlsReloader::fileState)
                .collect(Collectors.joining(" "));
    }

    private static String fileState(String file) {
        try {
            Path path = Path.of(file);
            return Files.getLastModifiedTime(path).toMillis() + "/" + Files.size(path);
        } catch (IOException e) {
            return "unreadable";
        }
    }

    /** Applies the files if their state has changed and they are valid; otherwise the next check tries again. */
    private void reloadIfChanged(String state) {
        if (state.equals(appliedState)) {
            return;
        }
        vertx.executeBlocking(() -> CertificateCheck.findFault(files))
                .compose(fault ->
                        fault.isPresent() ? failure(fault) : reload.apply(files).mapEmpty())
                .onSuccess(done -> {
                    appliedState = state;
                    events.record(EventCode.TLS_RENEWED, files.certificateFile());
                })
                .onFailure(cause -> events.record(
                        EventCode.TLS_RENEWAL_FAILED, files.certificateFile() + ": " + cause.getMessage()));
    }

    private static Future<Object> failure(Optional<String> fault) {
        return Future.failedFuture(fault.orElse(""));
    }
}
