package org.coltsfootquay.router.node;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.coltsfootquay.protocol.generated.peer.Beacon;
import org.coltsfootquay.protocol.generated.peer.BeaconAnswer;
import org.coltsfootquay.protocol.generated.peer.BeaconCrash;
import org.coltsfootquay.protocol.generated.peer.BeaconDemand;
import org.coltsfootquay.protocol.generated.peer.BeaconLoad;
import org.coltsfootquay.protocol.generated.peer.BeaconProbe;
import org.coltsfootquay.protocol.generated.peer.BeaconRead;
import org.coltsfootquay.protocol.generated.peer.BeaconRollout;

/**
 * Splits beacons into messages that fit into one datagram each; not thread-safe.
 *
 * <p>Entries are taken in the order of their importance: crashes, answers and probes, loads, prompt parts, demands.
 * What does not fit into the maximum number of datagrams is omitted.
 */
final class BeaconSplitter {

    /** Size of a message that no link fragments: an MTU of 1,500 bytes without the headers, and some reserve. */
    static final int MAX_MESSAGE_BYTES = 1400;

    /** Messages of one beacon; bounds the work of a receiver. */
    static final int MAX_MESSAGES = 64;

    /** Maximum size of the sequence number and the part numbers, which are set later. */
    private static final int RESERVED_BYTES = 20;

    private final Beacon header;
    private final int headerBytes;
    private final List<Beacon.Builder> messages = new ArrayList<>();
    private int lastBytes;
    private int omitted;

    private BeaconSplitter(Beacon header) {
        this.header = header;
        this.headerBytes = header.getSerializedSize() + RESERVED_BYTES;
        addMessage();
    }

    /**
     * Splits a beacon.
     *
     * @param header fields that each message needs, without entries
     * @param content entries
     * @return messages without sequence numbers, at least one
     */
    static Split split(Beacon header, Beacon content) {
        BeaconSplitter splitter = new BeaconSplitter(header);
        for (BeaconCrash crash : content.getCrashesList()) {
            splitter.add(Beacon.CRASHES_FIELD_NUMBER, crash, Beacon.Builder::addCrashes);
        }
        for (BeaconAnswer answer : content.getAnswersList()) {
            splitter.add(Beacon.ANSWERS_FIELD_NUMBER, answer, Beacon.Builder::addAnswers);
        }
        for (BeaconProbe probe : content.getProbesList()) {
            splitter.add(Beacon.PROBES_FIELD_NUMBER, probe, Beacon.Builder::addProbes);
        }
        for (BeaconRollout rollout : content.getRolloutsList()) {
            splitter.add(Beacon.ROLLOUTS_FIELD_NUMBER, rollout, Beacon.Builder::addRollouts);
        }
        for (BeaconLoad load : content.getLoadsList()) {
            splitter.add(Beacon.LOADS_FIELD_NUMBER, load, Beacon.Builder::addLoads);
        }
        for (BeaconRead read : content.getReadsList()) {
            splitter.add(Beacon.READS_FIELD_NUMBER, read, Beacon.Builder::addReads);
        }
        for (BeaconDemand demand : content.getDemandsList()) {
            splitter.add(Beacon.DEMANDS_FIELD_NUMBER, demand, Beacon.Builder::addDemands);
        }
        return new Split(splitter.messages, splitter.omitted);
    }

    private <T extends MessageLite> void add(int field, T entry, BiConsumer<Beacon.Builder, T> adder) {
        int bytes = CodedOutputStream.computeMessageSize(field, entry);
        if (lastBytes + bytes > MAX_MESSAGE_BYTES) {
            if (messages.size() >= MAX_MESSAGES || headerBytes + bytes > MAX_MESSAGE_BYTES) {
                omitted++;
                return;
            }
            addMessage();
        }
        adder.accept(messages.get(messages.size() - 1), entry);
        lastBytes += bytes;
    }

    private void addMessage() {
        messages.add(header.toBuilder());
        lastBytes = headerBytes;
    }

    /**
     * Result of a split.
     *
     * @param messages messages
     * @param omitted entries that are in none of the messages
     */
    record Split(List<Beacon.Builder> messages, int omitted) {

        /** Copies the list. */
        Split {
            messages = List.copyOf(messages);
        }
    }
}
