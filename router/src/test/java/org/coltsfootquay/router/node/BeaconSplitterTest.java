package org.coltsfootquay.router.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconCrash;
import org.coltsfootquay.protocol.generated.peer.BeaconDemand;
import org.junit.jupiter.api.Test;

/** Guards against beacons whose most important entries are left out, or that flood a receiver. */
final class BeaconSplitterTest {

    private static final Beacon HEADER =
            Beacon.newBuilder().setRouter("front-1").setIncarnation(1).build();

    @Test
    void beaconWithoutEntriesIsOneMessage() {
        BeaconSplitter.Split split = BeaconSplitter.split(HEADER, Beacon.getDefaultInstance());
        assertEquals(1, split.messages().size());
        assertEquals(HEADER, split.messages().get(0).build());
    }

    @Test
    void crashesComeBeforeDemandsIfNotEverythingFits() {
        Beacon.Builder content = Beacon.newBuilder();
        for (int i = 0; i < 5_000; i++) {
            content.addDemands(BeaconDemand.newBuilder().setService("service").setWorkspace("workspace-" + i));
        }
        content.addCrashes(BeaconCrash.newBuilder().setServer("s"));
        BeaconSplitter.Split split = BeaconSplitter.split(HEADER, content.build());
        assertEquals(BeaconSplitter.MAX_MESSAGES, split.messages().size());
        assertEquals(1, split.messages().get(0).getCrashesCount());
        int demands = split.messages().stream()
                .mapToInt(Beacon.Builder::getDemandsCount)
                .sum();
        assertTrue(demands > 2_000, demands + " demands");
        assertEquals(5_000, demands + split.omitted());
    }

    @Test
    void entryThatFitsIntoNoMessageIsLeftOut() {
        Beacon content = Beacon.newBuilder()
                .addDemands(BeaconDemand.newBuilder().setService("x".repeat(2 * BeaconSplitter.MAX_MESSAGE_BYTES)))
                .addDemands(BeaconDemand.newBuilder().setService("service"))
                .build();
        BeaconSplitter.Split split = BeaconSplitter.split(HEADER, content);
        assertEquals(1, split.omitted());
        assertEquals(1, split.messages().size());
        assertEquals(1, split.messages().get(0).getDemandsCount());
    }
}
