package org.coltsfootquay.router.node;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.hedge.HedgingSettings;
import org.coltsfootquay.settings.SettingsObject;

/** Reads the settings of hedged requests. */
final class HedgingReader {

    private HedgingReader() {}

    /** Reads the object {@code hedging}; errors are recorded in it. */
    static HedgingSettings read(SettingsObject hedging) {
        double workShare = readShare(hedging);
        double quantile = hedging.decimal("quantile", HedgingSettings.DEFAULT_QUANTILE);
        if (!(quantile >= HedgingSettings.MIN_QUANTILE && quantile <= HedgingSettings.MAX_QUANTILE)) {
            hedging.problem("quantile", Double.toString(quantile), "use a quantile from 0.5 to 0.99, such as 0.95");
            quantile = HedgingSettings.DEFAULT_QUANTILE;
        }
        Map<ServiceName, Double> workShares = new HashMap<>();
        hedging.objects("services", service -> Map.entry(new ServiceName(service.name("name")), readShare(service)))
                .forEach(entry -> workShares.put(entry.getKey(), entry.getValue()));
        return new HedgingSettings(workShare, quantile, workShares);
    }

    private static double readShare(SettingsObject object) {
        double share = object.decimal("workShare", 0);
        if (!HedgingSettings.isValidShare(share)) {
            object.problem("workShare", Double.toString(share), "use a share from 0 (off) to 0.2, such as 0.02");
            return 0;
        }
        return share;
    }
}
