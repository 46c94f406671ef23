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

/** Puts certificates and keys in use when their files change. */
public final class TlsReloader {

    private final Vertx vertx;
    private final TlsFiles files;
    private final Function<TlsFiles, Future<?>> renew;
    private final EventSink events;
    private long timer = -1;
    private String inUse;

    /**
     * Creates a reloader.
     *
     * @param vertx the Vert.x instance
     * @param files the files to look at
     * @param renew puts them in use
     * @param events the sink of numbered events
     */
    public TlsReloader(Vertx vertx, TlsFiles files, Function<TlsFiles, Future<?>> renew, EventSink events) {
        this.vertx = vertx;
        this.files = files;
        this.renew = renew;
        this.events = events;
        this.inUse = state(files);
    }

    /**
     * Begins to look at the files.
     *
     * @param intervalMillis the time between two looks
     */
    public void start(long intervalMillis) {
        timer = vertx.setPeriodic(
                intervalMillis,
                fired -> vertx.executeBlocking(() -> state(files)).onSuccess(this::compare));
    }

    /** Ends the looks. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    /** The times and sizes of the files; files that cannot be read count as they are. */
    private static String state(TlsFiles files) {
        return Stream.of(files.certificateFile(), files.keyFile(), files.authorityFile())
                .filter(file -> !file.isEmpty())
                .map(TlsReloader::state)
                .collect(Collectors.joining(" "));
    }

    private static String state(String file) {
        try {
            Path path = Path.of(file);
            return Files.getLastModifiedTime(path).toMillis() + "/" + Files.size(path);
        } catch (IOException e) {
            return "unreadable";
        }
    }

    private void compare(String state) {
        if (state.equals(inUse)) {
            return;
        }
        vertx.executeBlocking(() -> CertificateCheck.fault(files))
                .compose(fault ->
                        fault.isPresent() ? failed(fault) : renew.apply(files).mapEmpty())
                .onSuccess(done -> {
                    inUse = state;
                    events.record(EventCode.TLS_RENEWED, files.certificateFile());
                })
                .onFailure(cause -> events.record(
                        EventCode.TLS_RENEWAL_FAILED, files.certificateFile() + ": " + cause.getMessage()));
    }

    private static Future<Object> failed(Optional<String> fault) {
        return Future.failedFuture(fault.orElse(""));
    }
}
