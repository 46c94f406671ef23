package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.quarantine.Suspect;
import io.lagoonseam.entry.quarantine.QuarantineExchange;

/** Logs what comes into quarantine and out of it. */
final class QuarantineListener implements QuarantineExchange.Listener {

    private final DecisionLog log;
    private final Runnable onQuarantined;

    QuarantineListener(DecisionLog log, Runnable onQuarantined) {
        this.log = log;
        this.onQuarantined = onQuarantined;
    }

    @Override
    public void onQuarantined(Suspect suspect, int crashes) {
        log.recordDecision(
                EventCode.QUARANTINE_BEGUN,
                "",
                "kind",
                suspect.kind(),
                "digest",
                Long.toHexString(suspect.digest()),
                "crashes",
                crashes);
        onQuarantined.run();
    }

    @Override
    public void onReleased(Suspect suspect) {
        log.recordDecision(
                EventCode.QUARANTINE_ENDED, "", "kind", suspect.kind(), "digest", Long.toHexString(suspect.digest()));
    }
}
