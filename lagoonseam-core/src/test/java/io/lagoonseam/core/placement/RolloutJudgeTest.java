package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class RolloutJudgeTest {

    private static RolloutJudge judge(int stable, int canary, int canaryAttained) {
        RolloutJudge judge = new RolloutJudge(100, 0.02);
        for (int request = 0; request < stable; request++) {
            judge.record(false, true);
        }
        for (int request = 0; request < canary; request++) {
            judge.record(true, request < canaryAttained);
        }
        return judge;
    }

    @Test
    public void observesUntilEnoughIsSeen() {
        assertEquals(judge(50, 100, 100).decide(), RolloutDecision.OBSERVE);
        assertEquals(judge(100, 50, 50).decide(), RolloutDecision.OBSERVE);
    }

    @Test
    public void promotesAnEqualVersion() {
        assertEquals(judge(100, 100, 99).decide(), RolloutDecision.PROMOTE);
    }

    @Test
    public void rollsBackBeforeAllIsSeen() {
        assertEquals(judge(100, 10, 5).decide(), RolloutDecision.ROLL_BACK);
    }
}
