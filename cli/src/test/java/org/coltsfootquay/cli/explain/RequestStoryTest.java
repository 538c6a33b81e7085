package org.coltsfootquay.cli.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a story that leaves out a line of the request or the change that explains it. */
final class RequestStoryTest {

    /** Lines of a played day (pfostenamt-obb hunt-23a7-3), shortened. */
    private static final List<String> LOG = List.of(
            "3.9 r1 time=2026-08-09T15:01:04.900Z level=INFO event=request_sent request=a4bb server=i-04 send=1",
            "3.9 r1 time=2026-08-09T15:01:04.910Z level=INFO event=request_sent request=ffff server=i-04 send=1",
            "3.9 r1 time=2026-08-09T15:01:04.990Z level=INFO event=server_removed server=i-04 revision=9",
            "3.9 r1 time=2026-08-09T15:01:04.995Z level=WARN event=answer_broken request=a4bb server=i-04 cause=reset",
            "4.4 r1 time=2026-08-09T15:01:05.428Z level=INFO event=request_done request=a4bb outcome=served");

    @Test
    void storyHasTheLinesOfTheRequestAndChangesOfState() {
        assertEquals(
                List.of("* " + LOG.get(0), "  " + LOG.get(2), "* " + LOG.get(3), "* " + LOG.get(4)),
                RequestStory.of("a4bb", LOG));
    }

    @Test
    void rejectionForAPartLeadsToTheCrashesBehindIt() {
        List<String> log = new ArrayList<>(List.of(
                "event=server_crashed server=i-1 startedMillis=7 requests=2 parts=\"[a1, b2]\"",
                "event=server_crashed server=i-9 startedMillis=7 requests=1 parts=[]",
                "event=part_quarantined parts=a1 crashes=3 servers=i-1,i-2,i-3",
                "event=part_quarantined parts=c3 crashes=3 servers=i-9,i-2,i-3"));
        for (int i = 0; i < 500; i++) {
            log.add("event=request_done request=other outcome=served");
        }
        log.add("event=request_quarantined request=a4bb parts=a1 crashes=3 settled=true");
        log.add("event=request_done request=a4bb outcome=quarantined_part status=400");
        assertEquals(
                List.of("  " + log.get(0), "  " + log.get(2), "* " + log.get(504), "* " + log.get(505)),
                RequestStory.of("a4bb", log));
    }

    @Test
    void logWithoutTheRequestHasNoStory() {
        assertTrue(RequestStory.of("a4b", LOG).isEmpty());
    }

    @Test
    void quotedValuesAreRead() {
        LogLine line = LogLine.parse("event=store_lost reason=\"not \\\"connected\\\" yet\" table=SERVERS")
                .orElseThrow();
        assertEquals("not \"connected\" yet", line.field("reason"));
        assertEquals("SERVERS", line.field("table"));
    }

    @Test
    void linesWithoutAnEventAreIgnored() {
        assertTrue(LogLine.parse("# a crash report").isEmpty());
    }
}
