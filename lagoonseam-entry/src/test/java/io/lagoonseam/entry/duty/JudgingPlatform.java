package io.lagoonseam.entry.duty;

import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A platform that takes usage reports, and records what no two holders of a duty may do. */
final class JudgingPlatform {

    private static final int MAX_LATENCY_MILLIS = 30;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    /** The time within which holders may not take turns, in milliseconds. */
    private static final long LEASE_MILLIS = 3_000;

    private final DutyFleet fleet;
    private final Random random;
    private final Map<Long, Map<String, Long>> accepted = new HashMap<>();
    private final Map<Long, Long> acceptedAtMillis = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private double failingShare;

    private record Call(String machine, long token, long atMillis) {}

    JudgingPlatform(DutyFleet fleet, Random random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Sets which share of the calls is refused, and of which the answer is lost. */
    void fail(double share) {
        failingShare = share;
    }

    /** Returns the platform as one machine reaches it. */
    UsagePlatform from(String machine) {
        return (holder, token, window, counts) -> {
            Promise<Boolean> answer = Promise.promise();
            fleet.network.after(CALL_TIMEOUT_MILLIS, () -> answer.tryComplete(false));
            double draw = random.nextDouble();
            if (draw < failingShare) {
                fleet.network.after(1, () -> answer.tryComplete(false));
                return answer.future();
            }
            fleet.network.after(1 + random.nextInt(MAX_LATENCY_MILLIS), () -> {
                judge(new Call(machine, token, fleet.nowMillis()), window, counts);
                if (draw >= 2 * failingShare) {
                    answer.tryComplete(true);
                }
            });
            return answer.future();
        };
    }

    private void judge(Call call, long window, Map<String, Long> counts) {
        Map<String, Long> before = accepted.putIfAbsent(window, Map.copyOf(counts));
        acceptedAtMillis.putIfAbsent(window, call.atMillis());
        if (before != null && !before.equals(counts)) {
            faults.add("window " + window + " with " + before + " and " + counts);
        }
        for (Call earlier : calls) {
            if (earlier.token() > call.token()) {
                faults.add("token " + call.token() + " after " + earlier.token());
            }
            if (earlier.token() == call.token() && !earlier.machine().equals(call.machine())) {
                faults.add("token " + call.token() + " by " + earlier.machine() + " and " + call.machine());
            }
        }
        calls.add(call);
        for (int other = calls.size() - 1; other > 0; other--) {
            Call between = calls.get(other - 1);
            boolean tookTurns = calls.subList(0, other).stream()
                    .anyMatch(first -> first.machine().equals(call.machine())
                            && call.atMillis() - first.atMillis() < LEASE_MILLIS
                            && first.token() < between.token());
            if (!between.machine().equals(call.machine()) && tookTurns) {
                faults.add(call.machine() + ", " + between.machine() + ", " + call.machine() + " within a lease");
            }
        }
    }

    /** Returns what no two holders may do, and was done. */
    List<String> faults() {
        return faults;
    }

    /** Returns the counts of a window, null if it was not reported. */
    Map<String, Long> counts(long window) {
        return accepted.get(window);
    }

    /** Returns when a window was reported, in milliseconds. */
    long acceptedAtMillis(long window) {
        return acceptedAtMillis.getOrDefault(window, Long.MAX_VALUE);
    }
}
