package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.JournalOptions;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import io.lagoonseam.core.time.ManualTimeSource;
import java.util.List;
import java.util.Optional;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.testng.annotations.Test;

/** Model-checks that the operations of {@link OperationTable} are linearizable. */
public final class OperationTableConcurrencyTest {

    private static final OperationKey KEY = new OperationKey("split", "k", "digest");
    private static final RecordedAnswer ANSWER = new RecordedAnswer(200, "text/plain", "done");

    private final OperationTable table = new OperationTable(
            new ManualTimeSource(), new InvariantMonitor(new NoopEventSink()), JournalOptions.standard());

    private List<PendingRecord> batch = List.of();

    private void begin(String attemptId) {
        table.begin(new BeginRequest(KEY, attemptId, Tier.URGENT, 1_000));
    }

    @Operation
    public void beginFirst() {
        begin("first");
    }

    @Operation
    public void beginSecond() {
        begin("second");
    }

    @Operation(nonParallelGroup = "writer")
    public int takeBatch() {
        if (batch.isEmpty()) {
            batch = table.takeBatch();
        }
        return batch.size();
    }

    @Operation(nonParallelGroup = "writer")
    public void appended() {
        table.onAppended(batch, 1);
        batch = List.of();
    }

    @Operation
    public boolean complete() {
        return table.complete(KEY, "first", Optional.of(ANSWER))
                .toCompletableFuture()
                .isDone();
    }

    @Operation
    public void leaveInDoubt() {
        table.leaveInDoubt(KEY, "first");
    }

    @Test
    public void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(4)
                .invocationsPerIteration(100)
                .threads(2)
                .actorsPerThread(3)
                .check(OperationTableConcurrencyTest.class);
    }
}
