package org.coltsfootquay.router.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.fairness.FleetTotals;
import org.coltsfootquay.decision.fairness.ServiceTotals;
import org.coltsfootquay.decision.fairness.UsageReport;
import org.coltsfootquay.decision.fairness.WorkspaceUsage;
import org.coltsfootquay.protocol.generated.Frame;
import org.coltsfootquay.protocol.generated.OwnerLoad;
import org.coltsfootquay.protocol.generated.ServiceRate;
import org.coltsfootquay.protocol.generated.ServiceUsage;
import org.coltsfootquay.protocol.generated.WorkspaceOffset;

/** Translation between the messages of the aggregation tree and frames. */
final class TotalsMessageConverter {

    private TotalsMessageConverter() {}

    static Frame toFrame(UsageReport report, long settledAgeMillis) {
        var message = org.coltsfootquay.protocol.generated.UsageReport.newBuilder()
                .setSequence(report.sequence())
                .setIncarnation(report.session())
                .setRoutersInSubtree(report.routersInSubtree())
                .setRoutersWithoutStore(report.routersWithoutStore())
                .setWithoutStoreDigest(report.withoutStoreDigest())
                .setConfigurationVersion(report.configurationVersion())
                .setIntervalMillis(report.ageMillis())
                .setSettledAgeMillis(settledAgeMillis)
                .addAllLoads(convertLoads(report.loads()));
        report.usage()
                .forEach(usage -> message.addUsage(ServiceUsage.newBuilder()
                        .setWorkspace(usage.workspace().value())
                        .setService(usage.service().value())
                        .setUnits(usage.units())
                        .setBacklogged(usage.backlogged())));
        return Frame.newBuilder().setUsageReport(message).build();
    }

    static UsageReport toReport(org.coltsfootquay.protocol.generated.UsageReport message) {
        List<WorkspaceUsage> usage = message.getUsageList().stream()
                .map(entry -> new WorkspaceUsage(
                        new WorkspaceId(entry.getWorkspace()),
                        new ServiceName(entry.getService()),
                        entry.getUnits(),
                        entry.getBacklogged()))
                .toList();
        return new UsageReport(
                message.getIncarnation(),
                message.getSequence(),
                usage,
                convertLoads(message.getLoadsList()),
                message.getRoutersInSubtree(),
                message.getRoutersWithoutStore(),
                message.getWithoutStoreDigest(),
                message.getConfigurationVersion(),
                message.getIntervalMillis());
    }

    static Frame toFrame(FleetTotals totals, long settledAgeMillis) {
        var message = org.coltsfootquay.protocol.generated.FleetTotals.newBuilder()
                .setVersion(totals.version())
                .setAcknowledgedSequence(totals.acknowledgedSequence())
                .setAgeMillis(totals.ageMillis())
                .setRouters(totals.routers())
                .setRoutersWithoutStore(totals.routersWithoutStore())
                .setWithoutStoreDigest(totals.withoutStoreDigest())
                .setConfigurationVersion(totals.configurationVersion())
                .setSettledAgeMillis(settledAgeMillis)
                .addAllLoads(convertLoads(totals.loads()));
        totals.offsets()
                .forEach(offset -> message.addOffsets(WorkspaceOffset.newBuilder()
                        .setWorkspace(offset.workspace().value())
                        .setService(offset.service().value())
                        .setOffsetUnits(offset.units())
                        .setUnitsPerSecond(offset.unitsPerSecond())));
        totals.rates()
                .forEach((service, rate) -> message.addRates(ServiceRate.newBuilder()
                        .setService(service.value())
                        .setUnitsPerSecond(rate.unitsPerSecond())
                        .setBackloggedWorkspaces(rate.backlogged())));
        return Frame.newBuilder().setFleetTotals(message).build();
    }

    static FleetTotals toTotals(org.coltsfootquay.protocol.generated.FleetTotals message) {
        List<FleetTotals.Offset> offsets = message.getOffsetsList().stream()
                .map(entry -> new FleetTotals.Offset(
                        new WorkspaceId(entry.getWorkspace()),
                        new ServiceName(entry.getService()),
                        entry.getOffsetUnits(),
                        entry.getUnitsPerSecond()))
                .toList();
        Map<ServiceName, FleetTotals.Rate> rates = new HashMap<>();
        message.getRatesList()
                .forEach(rate -> rates.put(
                        new ServiceName(rate.getService()),
                        new FleetTotals.Rate(rate.getUnitsPerSecond(), rate.getBackloggedWorkspaces())));
        return new FleetTotals(
                message.getVersion(),
                message.getAcknowledgedSequence(),
                message.getAgeMillis(),
                offsets,
                rates,
                convertLoads(message.getLoadsList()),
                message.getRouters(),
                message.getRoutersWithoutStore(),
                message.getWithoutStoreDigest(),
                message.getConfigurationVersion());
    }

    private static List<OwnerLoad> convertLoads(Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads) {
        List<OwnerLoad> messages = new ArrayList<>();
        loads.forEach((service, entries) -> entries.forEach(load -> messages.add(OwnerLoad.newBuilder()
                .setRouter(load.router().value())
                .setService(service.value())
                .setFreeSlots(load.freeSlots())
                .setQueueLength(load.queueLength())
                .setOldestWaitMillis(load.oldestWaitMillis())
                .build())));
        return messages;
    }

    private static Map<ServiceName, List<ServiceTotals.OwnerLoad>> convertLoads(List<OwnerLoad> messages) {
        Map<ServiceName, List<ServiceTotals.OwnerLoad>> loads = new HashMap<>();
        messages.forEach(
                message -> loads.computeIfAbsent(new ServiceName(message.getService()), service -> new ArrayList<>())
                        .add(new ServiceTotals.OwnerLoad(
                                new RouterId(message.getRouter()),
                                message.getFreeSlots(),
                                message.getQueueLength(),
                                message.getOldestWaitMillis())));
        return loads;
    }
}
