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
 * @param membership settings of the membership controller, including the identity of this router
 * @param watcher settings of the store watcher
 * @param admissionPermit settings of the admission permit controller
 * @param ownership settings of the ownership controller
 * @param configuration settings of the configuration controller and submitter
 */
public record ControlSettings(
        MembershipSettings membership,
        StoreWatcherSettings watcher,
        AdmissionPermitSettings admissionPermit,
        OwnershipSettings ownership,
        ConfigurationSettings configuration) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a component is null
     */
    public ControlSettings {
        ArgumentUtils.requireValue(membership, "membership settings");
        ArgumentUtils.requireValue(watcher, "watcher settings");
        ArgumentUtils.requireValue(admissionPermit, "admission permit settings");
        ArgumentUtils.requireValue(ownership, "ownership settings");
        ArgumentUtils.requireValue(configuration, "configuration settings");
    }

    /**
     * Returns the default settings for a router.
     *
     * @param membership settings of the membership controller, including the identity of this router
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
