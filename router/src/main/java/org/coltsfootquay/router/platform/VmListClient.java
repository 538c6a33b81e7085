package org.coltsfootquay.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.store.StoreException;
import org.coltsfootquay.decision.store.VmEntry;
import org.coltsfootquay.decision.store.VmList;

/** Client of the VM list over HTTP. */
final class VmListClient implements VmList {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PlatformCallExecutor callExecutor;

    VmListClient(PlatformCallExecutor callExecutor) {
        this.callExecutor = callExecutor;
    }

    @Override
    public void read(Consumer<Either<StoreException, List<VmEntry>>> callback) {
        callExecutor.read(
                "/v1/vms", reply -> decodeEntries(reply.requireStatus(200).body()), callback);
    }

    private static List<VmEntry> decodeEntries(byte[] body) throws StoreException {
        try {
            List<VmEntry> entries = new ArrayList<>();
            for (JsonNode vm : TableJsonCodec.requireField(MAPPER.readTree(body), "vms")) {
                entries.add(decodeEntry(vm));
            }
            return entries;
        } catch (IOException e) {
            throw TableJsonCodec.malformedResponse("list of VMs", e);
        }
    }

    private static VmEntry decodeEntry(JsonNode node) throws IOException {
        String state = TableJsonCodec.requireField(node, "state").asText();
        try {
            return new VmEntry(
                    TableJsonCodec.requireField(node, "name").asText(),
                    new ZoneName(TableJsonCodec.requireField(node, "zone").asText()),
                    TableJsonCodec.requireField(node, "address").asText(),
                    VmEntry.State.valueOf(state.toUpperCase(Locale.ROOT)),
                    node.path("startedAtEpochMillis").asLong());
        } catch (IllegalArgumentException e) {
            throw new IOException("VM list has an invalid entry: " + e.getMessage(), e);
        }
    }
}
