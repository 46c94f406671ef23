package io.lagoonseam.cli.config;

import io.lagoonseam.cli.CommandOptions;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.platform.PlatformClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Provides one command with clients of the platform and waits for their results, at most 120 s each. */
final class PlatformSession implements AutoCloseable {

    private static final long TIMEOUT_SECONDS = 120;

    private final Vertx vertx = Vertx.vertx();
    private final ObjectStore store;
    private final ConfigurationStore configurations;

    PlatformSession(CommandLine line) {
        this.store = new PlatformClient(vertx, line.getOptionValue("platform"));
        this.configurations = new ConfigurationStore(store);
    }

    static Option option() {
        return CommandOptions.required("platform", "URL", "The platform's address, http://IP:PORT");
    }

    ConfigurationStore configurations() {
        return configurations;
    }

    ObjectStore store() {
        return store;
    }

    <T> T await(CompletionStage<T> stage) throws TimeoutException {
        return Future.fromCompletionStage(stage).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws TimeoutException {
        vertx.close().await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
