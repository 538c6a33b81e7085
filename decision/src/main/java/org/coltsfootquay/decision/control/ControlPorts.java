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
 * @param codec encoder and decoder of stored configurations
 * @param snapshotRequester requests configuration objects from peers
 * @param handoverListener listener for completed handovers
 * @param timeline sink for timeline events
 */
public record ControlPorts(
        TableStore store,
        ObjectStore objects,
        VmList vmList,
        ConfigurationCodec codec,
        SnapshotRequester snapshotRequester,
        HandoverListener handoverListener,
        TimelineSink timeline) {}
