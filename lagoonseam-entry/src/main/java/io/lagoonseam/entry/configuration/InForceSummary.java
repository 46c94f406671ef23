package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.platform.WriteCondition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sums up at a relay which generation is in force at the members, and writes it to the platform at a limited rate. */
final class InForceSummary {

    private static final long WRITE_INTERVAL_MILLIS = 500;
    private static final long REFRESH_MILLIS = 10_000;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long REPORT_AGE_MILLIS = 5_000;

    private final FollowerEnvironment environment;
    private final Map<String, Reported> reports = new HashMap<>();
    private InForceStatus written;
    private long writtenAtMillis;
    private long actingSinceMillis = -1;

    InForceSummary(FollowerEnvironment environment) {
        this.environment = environment;
    }

    private record Reported(long generation, long atMillis) {}

    void reported(String nodeId, long generation) {
        reports.put(nodeId, new Reported(generation, environment.time().monotonicMillis()));
    }

    /** Writes the sum if this node is the one to write it, it differs from the last, and the last is old enough. */
    void update(boolean writer) {
        long nowMillis = environment.time().monotonicMillis();
        if (!writer) {
            written = null;
            actingSinceMillis = -1;
            return;
        }
        if (actingSinceMillis < 0) {
            actingSinceMillis = nowMillis;
        }
        InForceStatus status = status(nowMillis);
        long settleMillis = status.missing().isEmpty() ? SETTLE_MILLIS : REPORT_AGE_MILLIS;
        boolean settled = nowMillis - actingSinceMillis >= settleMillis;
        if (settled && isDue(status, nowMillis)) {
            written = status;
            writtenAtMillis = nowMillis;
            environment
                    .store()
                    .write(InForceStatus.PREFIX + status.dataCentre(), status.encode(), new WriteCondition.Always());
        }
    }

    private boolean isDue(InForceStatus status, long nowMillis) {
        if (written == null) {
            return true;
        }
        long ageMillis = nowMillis - writtenAtMillis;
        boolean differs = status.generation() != written.generation()
                || status.members() != written.members()
                || !status.missing().equals(written.missing());
        return differs && ageMillis >= WRITE_INTERVAL_MILLIS || ageMillis >= REFRESH_MILLIS;
    }

    private InForceStatus status(long nowMillis) {
        Member self = environment.members().self();
        List<Member> members = environment.members().liveMembers();
        List<String> missing = new ArrayList<>();
        long lowest = Long.MAX_VALUE;
        for (Member member : members) {
            Reported report = reports.get(member.nodeId());
            if (report == null || nowMillis - report.atMillis() > REPORT_AGE_MILLIS) {
                missing.add(member.nodeId());
            } else {
                lowest = Math.min(lowest, report.generation());
            }
        }
        reports.keySet().retainAll(members.stream().map(Member::nodeId).toList());
        long generation = lowest == Long.MAX_VALUE ? 0 : lowest;
        return new InForceStatus(
                self.dataCentre(),
                generation,
                members.size(),
                missing,
                self.nodeId(),
                environment.time().wallMillis());
    }
}
