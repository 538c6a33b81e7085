package org.coltsfootquay.decision.control;

import org.coltsfootquay.decision.configuration.ConfigurationCodec;
import org.coltsfootquay.decision.configuration.SnapshotRequester;
import org.coltsfootquay.decision.ownership.HandoverListener;
import org.coltsfootquay.decision.store.ObjectStore;
import org.coltsfootquay.decision.store.TableStore;
import org.coltsfootquay.decision.store.VmList;
import org.coltsfootquay.decision.timeline.TimelineSink;

/**
 * Ports that the controllers use.
 *
 * @param store table service
 * @param objects object store
 * @param vmList list of VMs
 * @param codec reader and writer of stored configurations
 * @param snapshotRequester asks peers for configuration objects
 * @param handoverListener receiver of completed handovers
 * @param timeline receiver of events
 */
public record ControlPorts(
        TableStore store,
        ObjectStore objects,
        VmList vmList,
        ConfigurationCodec codec,
        SnapshotRequester snapshotRequester,
        HandoverListener handoverListener,
        TimelineSink timeline) {}
