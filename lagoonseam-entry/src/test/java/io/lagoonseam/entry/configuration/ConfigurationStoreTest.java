package io.lagoonseam.entry.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.platform.FakeObjectStore;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ConfigurationStoreTest {

    private static final List<SourceFile> FILES = List.of(new SourceFile("a.yaml", "kind: A"));

    private FakeObjectStore platform;
    private ConfigurationStore store;

    @BeforeMethod
    public void create() {
        platform = new FakeObjectStore();
        store = new ConfigurationStore(platform);
    }

    private ApplyResult apply(String author) {
        return store.apply(FILES, author, "test", 1).toCompletableFuture().join();
    }

    @Test
    public void numbersGenerations() {
        assertEquals(apply("ann"), new ApplyResult.Applied(1));
        assertEquals(apply("bea"), new ApplyResult.Applied(2));
    }

    @Test
    public void settlesLostAnswerOfTheManifest() {
        assertEquals(apply("ann"), new ApplyResult.Applied(1));
        platform.loseAnswers(1);
        assertEquals(apply("bea"), new ApplyResult.Applied(2));
    }

    @Test
    public void appliesNothingInOutage() {
        platform.outage(true);
        assertTrue(apply("ann") instanceof ApplyResult.Failed failed && !failed.mayBeApplied());
    }
}
