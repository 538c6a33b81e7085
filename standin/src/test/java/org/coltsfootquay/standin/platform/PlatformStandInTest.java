package org.coltsfootquay.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootquay.standin.fault.Outage;
import org.coltsfootquay.standin.http.StandInClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a stand-in that is more lenient than the documented protocol. */
final class PlatformStandInTest {

    private final AtomicLong nanos = new AtomicLong(1);
    private final PlatformStandIn platform = new PlatformStandIn(new PlatformSettings(2_000, 0, 0), nanos::get).start();
    private final StandInClient client = new StandInClient(platform.address());

    @AfterEach
    void close() {
        platform.close();
    }

    @Test
    void conditionalPutIsRefusedWithTheCurrentRow() throws Exception {
        String put = "{\"op\":\"put\",\"key\":\"a\",\"value\":{\"f\":\"1\"},\"condition\":{\"type\":\"absent\"}}";
        assertTrue(batch("atomic", put).at("/results/0/applied").asBoolean());

        JsonNode second = batch("atomic", put);

        assertFalse(second.at("/results/0/applied").asBoolean());
        assertEquals("1", second.at("/results/0/current/value/f").asText());
        assertEquals(1, second.path("revision").asLong());
    }

    @Test
    void atomicBatchAppliesNothingWhenOneConditionFails() throws Exception {
        JsonNode answer = batch(
                "atomic",
                "{\"op\":\"put\",\"key\":\"a\",\"value\":{},\"condition\":{\"type\":\"always\"}},"
                        + "{\"op\":\"check\",\"key\":\"b\",\"condition\":{\"type\":\"revisionIs\",\"revision\":3}}");

        assertFalse(answer.at("/results/0/applied").asBoolean());
        assertTrue(platform.row("a").isEmpty());
    }

    @Test
    void touchExtendsTheExpiryWithoutAChange() throws Exception {
        batch(
                "atomic",
                "{\"op\":\"put\",\"key\":\"r/1\",\"value\":{},\"condition\":{\"type\":\"always\"},\"ttlMillis\":9000}");
        nanos.addAndGet(8_000_000_000L);
        batch(
                "independent",
                "{\"op\":\"touch\",\"key\":\"r/1\",\"condition\":{\"type\":\"always\"},\"ttlMillis\":9000}");
        nanos.addAndGet(8_000_000_000L);

        assertFalse(get("/v1/table/row?key=r/1").path("expired").asBoolean());
        assertEquals(0, get("/v1/table/changes?prefix=r/&since=1").path("rows").size());
        nanos.addAndGet(1_000_000_000L);
        assertTrue(get("/v1/table/row?key=r/1").path("expired").asBoolean());
    }

    @Test
    void changesShowDeletedRowsUnlessReadFromTheStart() throws Exception {
        batch("atomic", "{\"op\":\"put\",\"key\":\"a\",\"value\":{},\"condition\":{\"type\":\"always\"}}");
        batch("atomic", "{\"op\":\"delete\",\"key\":\"a\",\"condition\":{\"type\":\"always\"}}");

        JsonNode since = get("/v1/table/changes?prefix=a&since=1");
        assertTrue(since.at("/rows/0/deleted").asBoolean());
        assertEquals(2, since.path("revision").asLong());
        assertEquals(0, get("/v1/table/changes?prefix=a&since=0").path("rows").size());
    }

    @Test
    void lostAnswerKeepsTheEffect() throws Exception {
        faults("{\"loseNextAnswers\": 1}");

        assertThrows(
                IOException.class,
                () -> batch(
                        "atomic", "{\"op\":\"put\",\"key\":\"a\",\"value\":{},\"condition\":{\"type\":\"always\"}}"));

        assertTrue(platform.row("a").isPresent());
        assertEquals(1, get("/v1/stats").path("answersLost").asLong());
    }

    @Test
    void outageDoesNothing() throws Exception {
        faults("{\"outage\": \"unavailable\"}");

        HttpResponse<String> answer = client.send(
                "POST",
                "/v1/table/batch",
                "{\"mode\":\"atomic\",\"operations\":[{\"op\":\"put\","
                        + "\"key\":\"a\",\"value\":{},\"condition\":{\"type\":\"always\"}}]}");

        assertEquals(503, answer.statusCode());
        assertTrue(platform.row("a").isEmpty());
    }

    @Test
    void unknownFaultIsRejectedWithItsPath() throws Exception {
        HttpResponse<String> answer = client.send("POST", "/v1/faults", "{\"outge\": 1, \"slowMillis\": -1}");

        assertEquals(400, answer.statusCode());
        assertTrue(answer.body().contains("outge"), answer.body());
        assertTrue(answer.body().contains("slowMillis"), answer.body());
    }

    @Test
    void outageOfAGateConcernsItsCallersOnly() throws Exception {
        PlatformGate gate = platform.openGate();
        StandInClient behind = new StandInClient(gate.address());
        batch("atomic", "{\"op\":\"put\",\"key\":\"a\",\"value\":{},\"condition\":{\"type\":\"always\"}}");
        assertEquals(200, behind.send("GET", "/v1/table/row?key=a", "").statusCode());

        gate.faults().turn(faults -> faults.withOutage(Outage.UNAVAILABLE));

        assertEquals(503, behind.send("GET", "/v1/table/row?key=a", "").statusCode());
        assertEquals("a", get("/v1/table/row?key=a").path("key").asText());
    }

    @Test
    void rateLimitThrottlesWithoutAnEffect() throws Exception {
        try (PlatformStandIn limited = new PlatformStandIn(new PlatformSettings(0, 2, 0), nanos::get).start()) {
            StandInClient caller = new StandInClient(limited.address());
            String put = "{\"mode\":\"atomic\",\"operations\":[{\"op\":\"put\",\"key\":\"%s\",\"value\":{},"
                    + "\"condition\":{\"type\":\"always\"}}]}";
            for (String key : List.of("a", "b", "c")) {
                caller.send("POST", "/v1/table/batch", String.format(put, key));
            }

            assertEquals(2, limited.rows("").size());
            nanos.addAndGet(500_000_000L);
            assertEquals(
                    200,
                    caller.send("POST", "/v1/table/batch", String.format(put, "d"))
                            .statusCode());
        }
    }

    @Test
    void objectNeverChanges() throws Exception {
        assertEquals(204, putObject("one").statusCode());
        assertEquals(204, putObject("one").statusCode());
        assertEquals(409, putObject("two").statusCode());
        assertEquals("one", client.send("GET", "/v1/objects/config/x", "").body());
    }

    @Test
    void vmListLags() throws Exception {
        platform.vms().put(new VmRecord("engine-1", "augsburg", "127.0.0.1:1", VmRecord.State.RUNNING, 0));
        assertEquals(0, get("/v1/vms").path("vms").size());

        nanos.addAndGet(2_000_000_000L);

        assertEquals("engine-1", get("/v1/vms").at("/vms/0/name").asText());
    }

    private HttpResponse<String> putObject(String content) throws Exception {
        return client.send("PUT", "/v1/objects/config/x", content);
    }

    private void faults(String json) throws Exception {
        assertEquals(200, client.send("POST", "/v1/faults", json).statusCode());
    }

    private JsonNode batch(String mode, String operations) throws Exception {
        String body = "{\"mode\":\"" + mode + "\",\"operations\":[" + operations + "]}";
        HttpResponse<String> answer = client.send("POST", "/v1/table/batch", body);
        assertEquals(200, answer.statusCode(), answer.body());
        return StandInClient.parse(answer.body());
    }

    private JsonNode get(String path) throws Exception {
        return client.get(path);
    }
}
