package io.lagoonseam.core.membership;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.core.platform.VmEntry;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public final class LeavingUpstreamsTest {

    private static final Set<String> UPSTREAMS = Set.of("e1", "e2", "e3", "e4");

    private final LeavingUpstreams leaving = new LeavingUpstreams();

    private LeavingUpstreams.View readVms(String... vms) {
        List<VmEntry> list = Stream.of(vms)
                .map(vm -> new VmEntry(vm.replace("-", ""), "a", vm.endsWith("-")))
                .toList();
        return leaving.updateOwnView("n1", list, UPSTREAMS, 100);
    }

    public static final class OneReader {

        private final LeavingUpstreamsTest test = new LeavingUpstreamsTest();

        @Test
        public void leavingAndVanishedUpstreamsAreExcludedUntilTheyReturn() {
            test.readVms("e1", "e2", "e3", "e4", "other-");
            assertEquals(test.leaving.names(), Set.of());
            test.readVms("e1-", "e2", "e3", "e4");
            assertEquals(test.leaving.names(), Set.of("e1"));
            test.readVms("e2", "e3", "e4");
            assertEquals(test.leaving.names(), Set.of("e1"));
            test.readVms("e1", "e2", "e3", "e4");
            assertEquals(test.leaving.names(), Set.of());
        }

        @Test
        public void listThatLosesMostUpstreamsAtOnceIsIgnored() {
            LeavingUpstreamsTest fresh = new LeavingUpstreamsTest();
            fresh.readVms("e1", "e2", "e3", "e4");
            fresh.readVms("e1");
            assertEquals(fresh.leaving.names(), Set.of());
        }

        @Test
        public void versionIncreasesOnlyOnChange() {
            LeavingUpstreamsTest fresh = new LeavingUpstreamsTest();
            assertEquals(fresh.readVms("e1", "e2").version(), 100);
            assertEquals(fresh.readVms("e2", "e1").version(), 100);
            assertEquals(fresh.readVms("e1-", "e2").version(), 101);
        }
    }

    @Test
    public void viewsOfFormerReadersApplyUntilCurrentReaderReports() {
        leaving.setReaders(Set.of("n2"));
        leaving.mergeView("n2", new LeavingUpstreams.View(1, Set.of("e1")));
        leaving.setReaders(Set.of("n3"));
        assertEquals(leaving.names(), Set.of("e1"));
        leaving.mergeView("n3", new LeavingUpstreams.View(1, Set.of("e2")));
        leaving.setReaders(Set.of("n3"));
        assertEquals(leaving.names(), Set.of("e2"));
        leaving.mergeView("n3", new LeavingUpstreams.View(3, Set.of()));
        leaving.mergeView("n3", new LeavingUpstreams.View(2, Set.of("e2")));
        assertEquals(leaving.names(), Set.of());
    }

    @Test
    public void refusedConnectionsAndAnnouncementsCountIndependently() {
        LeavingUpstreams own = new LeavingUpstreams();
        own.recordConnectionResult("e3", false);
        own.recordAnnouncement("e4", true);
        assertEquals(own.names(), Set.of("e3", "e4"));
        own.recordConnectionResult("e3", true);
        own.recordAnnouncement("e4", false);
        assertEquals(own.names(), Set.of());
    }
}
