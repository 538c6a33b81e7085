package org.coltsfootquay.cli.measure;

import com.google.protobuf.MessageLite;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.fairness.FleetTotals;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;
import org.coltsfootquay.decision.fairness.UsageReport;
import org.coltsfootquay.protocol.generated.OwnerLoad;
import org.coltsfootquay.protocol.generated.Probe;
import org.coltsfootquay.protocol.generated.ServiceRate;
import org.coltsfootquay.protocol.generated.ServiceUsage;
import org.coltsfootquay.protocol.generated.WorkspaceOffset;

/** Bytes and processor time that control takes at one router. */
public final class ControlMeter {

    /** Frame length, and the headers of Ethernet, IP and TCP. */
    private static final int HEADER_BYTES = 78;

    private long bytes;
    private long cpuNanos;

    /**
     * Runs work and adds the time it took.
     *
     * @param work work
     * @param <T> type of the result
     * @return result
     */
    public <T> T timed(Supplier<T> work) {
        long begin = System.nanoTime();
        T result = work.get();
        cpuNanos += System.nanoTime() - begin;
        return result;
    }

    /**
     * Adds the bytes of a report.
     *
     * @param report report
     */
    public void sent(UsageReport report) {
        add(encode(report));
    }

    /**
     * Adds the bytes of totals.
     *
     * @param totals totals
     */
    public void sent(FleetTotals totals) {
        add(encode(totals));
    }

    void sentProbe(String service, ServiceTotals.OwnerLoad load) {
        add(Probe.newBuilder()
                .setService(service)
                .setFreeSlots(load.freeSlots())
                .setQueueLength(load.queueLength())
                .setOldestWaitMillis(load.oldestWaitMillis())
                .build());
    }

    /**
     * Returns the bytes so far, headers included.
     *
     * @return bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns the time of timed work so far.
     *
     * @return nanoseconds
     */
    public long cpuNanos() {
        return cpuNanos;
    }

    /** Starts counting anew. */
    public void reset() {
        bytes = 0;
        cpuNanos = 0;
    }

    private void add(MessageLite message) {
        // The frame that wraps a message adds a tag and a length of about 3 bytes.
        bytes += message.getSerializedSize() + 3 + HEADER_BYTES;
    }

    private static MessageLite encode(UsageReport report) {
        org.coltsfootquay.protocol.generated.UsageReport.Builder builder =
                org.coltsfootquay.protocol.generated.UsageReport.newBuilder()
                        .setSequence(report.sequence())
                        .setIncarnation(report.session())
                        .setRoutersInSubtree(report.routersInSubtree())
                        .setRoutersWithoutStore(report.routersWithoutStore())
                        .setConfigurationVersion(report.configurationVersion())
                        .setIntervalMillis(report.ageMillis());
        for (WorkspaceUsage usage : report.usage()) {
            builder.addUsage(ServiceUsage.newBuilder()
                    .setWorkspace(usage.workspace().value())
                    .setService(usage.service().value())
                    .setUnits(usage.units())
                    .setBacklogged(usage.backlogged()));
        }
        report.loads().forEach((service, loads) -> loads.forEach(load -> builder.addLoads(encode(service, load))));
        return builder.build();
    }

    private static MessageLite encode(FleetTotals totals) {
        org.coltsfootquay.protocol.generated.FleetTotals.Builder builder =
                org.coltsfootquay.protocol.generated.FleetTotals.newBuilder()
                        .setVersion(totals.version())
                        .setAcknowledgedSequence(totals.acknowledgedSequence())
                        .setAgeMillis(totals.ageMillis())
                        .setRouters(totals.routers())
                        .setRoutersWithoutStore(totals.routersWithoutStore())
                        .setConfigurationVersion(totals.configurationVersion());
        for (FleetTotals.Offset offset : totals.offsets()) {
            builder.addOffsets(WorkspaceOffset.newBuilder()
                    .setWorkspace(offset.workspace().value())
                    .setService(offset.service().value())
                    .setOffsetUnits(offset.units())
                    .setUnitsPerSecond(offset.unitsPerSecond()));
        }
        for (Map.Entry<ServiceName, FleetTotals.Rate> rate : totals.rates().entrySet()) {
            builder.addRates(ServiceRate.newBuilder()
                    .setService(rate.getKey().value())
                    .setUnitsPerSecond(rate.getValue().unitsPerSecond())
                    .setBackloggedWorkspaces(rate.getValue().backlogged()));
        }
        totals.loads().forEach((service, loads) -> loads.forEach(load -> builder.addLoads(encode(service, load))));
        return builder.build();
    }

    private static OwnerLoad encode(ServiceName service, ServiceTotals.OwnerLoad load) {
        return OwnerLoad.newBuilder()
                .setRouter(load.router().value())
                .setService(service.value())
                .setFreeSlots(load.freeSlots())
                .setQueueLength(load.queueLength())
                .setOldestWaitMillis(load.oldestWaitMillis())
                .build();
    }
}
