package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.platform.WriteCondition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects at a relay which generation is in force at each member of the data centre, and writes the resulting
 * {@link InForceStatus} to the platform at a limited rate.
 */
final class InForceStatusWriter {

    private static final long MIN_WRITE_INTERVAL_MILLIS = 500;
    /** Interval after which an unchanged status is written again. */
    private static final long REFRESH_INTERVAL_MILLIS = 10_000;
    /** Delay before a new writer writes its first status, so that the members can report to it first. */
    private static final long SETTLE_MILLIS = 2_000;
    /**
     * Maximum age of a report that is counted. While reports of members are missing, a new writer also waits this long
     * before its first status.
     */
    private static final long MAX_REPORT_AGE_MILLIS = 5_000;

    private final FollowerEnvironment environment;
    private final Map<String, MemberReport> reports = new HashMap<>();
    private InForceStatus lastWritten;
    private long lastWrittenAtMillis;
    private long writerSinceMillis = -1;

    InForceStatusWriter(FollowerEnvironment environment) {
        this.environment = environment;
    }

    private record MemberReport(long generation, long atMillis) {}

    void recordReport(String nodeId, long generation) {
        reports.put(nodeId, new MemberReport(generation, environment.time().monotonicMillis()));
    }

    /**
     * Writes the status if this node is its writer, members had time to report, and the last status is outdated or due
     * for a refresh.
     *
     * @param isWriter whether this node writes the status of its data centre
     */
    void update(boolean isWriter) {
        long nowMillis = environment.time().monotonicMillis();
        if (!isWriter) {
            lastWritten = null;
            writerSinceMillis = -1;
            return;
        }
        if (writerSinceMillis < 0) {
            writerSinceMillis = nowMillis;
        }
        InForceStatus status = currentStatus(nowMillis);
        long settleMillis = status.missing().isEmpty() ? SETTLE_MILLIS : MAX_REPORT_AGE_MILLIS;
        boolean settled = nowMillis - writerSinceMillis >= settleMillis;
        if (settled && isDue(status, nowMillis)) {
            lastWritten = status;
            lastWrittenAtMillis = nowMillis;
            environment
                    .store()
                    .write(InForceStatus.PREFIX + status.dataCentre(), status.encode(), new WriteCondition.Always());
        }
    }

    private boolean isDue(InForceStatus status, long nowMillis) {
        if (lastWritten == null) {
            return true;
        }
        long ageMillis = nowMillis - lastWrittenAtMillis;
        boolean differs = status.generation() != lastWritten.generation()
                || status.members() != lastWritten.members()
                || !status.missing().equals(lastWritten.missing());
        return differs && ageMillis >= MIN_WRITE_INTERVAL_MILLIS || ageMillis >= REFRESH_INTERVAL_MILLIS;
    }

    private InForceStatus currentStatus(long nowMillis) {
        Member self = environment.members().self();
        List<Member> members = environment.members().liveMembers();
        List<String> missing = new ArrayList<>();
        long lowest = Long.MAX_VALUE;
        for (Member member : members) {
            MemberReport report = reports.get(member.nodeId());
            if (report == null || nowMillis - report.atMillis() > MAX_REPORT_AGE_MILLIS) {
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
