package io.lagoonseam.entry.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.platform.FakeObjectStore;
import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
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

    private static List<SourceFile> limits(int count, int changed) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < count; index++) {
            text.append("---\nkind: Limits\nname: l").append(index);
            text.append("\nrequestsPerSecond: ").append(index == changed ? 2 : 1);
            text.append("\ntokensPerSecond: 1\nconcurrency: 1\n");
        }
        return List.of(new SourceFile("limits.yaml", text.toString()));
    }

    @Test
    public void numbersGenerations() {
        assertEquals(apply("ann"), new ApplyResult.Applied(1));
        assertEquals(apply("bea"), new ApplyResult.Applied(2));
    }

    @Test
    public void retriesAfterLostManifestResponse() {
        assertEquals(apply("ann"), new ApplyResult.Applied(1));
        platform.loseAnswers(1);
        assertEquals(apply("bea"), new ApplyResult.Applied(2));
    }

    @Test
    public void failsWithoutEffectDuringOutage() {
        platform.setOutage(true);
        assertTrue(apply("ann") instanceof ApplyResult.Failed failed && !failed.mayBeApplied());
    }

    /** Loses the response to the first write of the manifest, and runs an action after the write has taken effect. */
    private static final class LostManifestResponse implements ObjectStore {

        private final ObjectStore delegate;
        private final Runnable afterWrite;
        private boolean responseLost;

        private LostManifestResponse(ObjectStore delegate, Runnable afterWrite) {
            this.delegate = delegate;
            this.afterWrite = afterWrite;
        }

        @Override
        public CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
            CompletionStage<WriteResult> result = delegate.write(name, value, condition);
            if (responseLost || !name.equals(ConfigurationStore.MANIFEST)) {
                return result;
            }
            responseLost = true;
            afterWrite.run();
            return result.thenApply(written -> new WriteResult.Unknown("response lost"));
        }

        @Override
        public CompletionStage<ReadResult> read(String name) {
            return delegate.read(name);
        }

        @Override
        public CompletionStage<WriteResult> delete(String name, WriteCondition condition) {
            return delegate.delete(name, condition);
        }

        @Override
        public CompletionStage<ListResult> list(String prefix) {
            return delegate.list(prefix);
        }

        @Override
        public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
            return delegate.watch(prefix, afterRevision, timeoutMillis);
        }
    }

    @Test
    public void findsOwnChangeInHistoryAfterLostResponseAndLaterChanges() {
        List<ApplyResult> others = new ArrayList<>();
        ObjectStore lossy = new LostManifestResponse(platform, () -> {
            others.add(apply("bea"));
            others.add(apply("cid"));
        });
        ApplyResult result = new ConfigurationStore(lossy)
                .apply(FILES, "ann", "test", 1)
                .toCompletableFuture()
                .join();
        assertEquals(result, new ApplyResult.Applied(1));
        assertEquals(others, List.of(new ApplyResult.Applied(2), new ApplyResult.Applied(3)));
    }

    @Test
    public void reportsConflictingChangeOnTheSameBaseAndCommonDocuments() {
        store.apply(limits(3, -1), "ann", "test", 1).toCompletableFuture().join();
        store.apply(limits(3, 1), "bea", "faster", 2).toCompletableFuture().join();
        ApplyResult result = store.applyOn(limits(2, 1), "cid", "test", 3, 1)
                .toCompletableFuture()
                .join();
        ApplyResult.Conflicted conflicted = (ApplyResult.Conflicted) result;
        assertEquals(conflicted.winner().author(), "bea");
        assertEquals(conflicted.clashes(), List.of("Limits l1"));
    }

    @Test
    public void smallChangeOfLargeSetWritesFewSmallObjects() {
        int count = 15_000;
        ApplyResult first = store.apply(limits(count, -1), "ann", "test", 1)
                .toCompletableFuture()
                .join();
        assertEquals(first, new ApplyResult.Applied(1));
        long writes = platform.writes();
        store.apply(limits(count, 7), "bea", "test", 2).toCompletableFuture().join();
        assertEquals(platform.writes() - writes, 3);
        List<Change> history =
                new ConfigurationHistory(store).latest(2).toCompletableFuture().join();
        assertEquals(history.get(0).differences().size(), 1);
        assertEquals(history.get(1).differences().size(), count);
        ConfigurationParts parts = ConfigurationParts.of(limits(count, 7));
        assertTrue(
                parts.largestBytes() < ObjectStore.VALUE_LIMIT_BYTES / 100,
                "largest part in bytes: " + parts.largestBytes());
        assertTrue(parts.listing().encode().length() < ObjectStore.VALUE_LIMIT_BYTES);
    }
}
