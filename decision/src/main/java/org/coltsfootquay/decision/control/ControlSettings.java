package org.coltsfootquay.decision.control;

import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.configuration.ConfigurationSettings;
import org.coltsfootquay.decision.membership.AdmissionPermitSettings;
import org.coltsfootquay.decision.membership.MembershipSettings;
import org.coltsfootquay.decision.ownership.OwnershipSettings;
import org.coltsfootquay.decision.store.StoreWatcherSettings;

/**
 * Settings of all controllers.
 *
 * @param membership identity and lease
 * @param watcher polling
 * @param admissionPermit permission for new work
 * @param ownership claims and handovers
 * @param configuration configuration
 */
public record ControlSettings(
        MembershipSettings membership,
        StoreWatcherSettings watcher,
        AdmissionPermitSettings admissionPermit,
        OwnershipSettings ownership,
        ConfigurationSettings configuration) {

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if a part is null
     */
    public ControlSettings {
        ArgumentUtils.requireValue(membership, "membership settings");
        ArgumentUtils.requireValue(watcher, "watcher settings");
        ArgumentUtils.requireValue(admissionPermit, "contact settings");
        ArgumentUtils.requireValue(ownership, "ownership settings");
        ArgumentUtils.requireValue(configuration, "configuration settings");
    }

    /**
     * Returns the settings of the design for a router.
     *
     * @param membership identity and lease
     * @return settings
     */
    public static ControlSettings standard(MembershipSettings membership) {
        return new ControlSettings(
                membership,
                StoreWatcherSettings.standard(),
                AdmissionPermitSettings.standard(),
                OwnershipSettings.standard(),
                ConfigurationSettings.standard());
    }
}
