package org.coltsfootquay.router.forward;

import java.util.List;
import org.coltsfootquay.decision.quarantine.QuarantineListener;
import org.coltsfootquay.router.log.EventLog;
import org.coltsfootquay.router.metrics.RouterMetrics;

/** Logs and counts the changes of the quarantine of prompt parts. */
final class QuarantineLog implements QuarantineListener {

    private static final EventLog LOG = EventLog.of(QuarantineLog.class);

    private final RouterMetrics metrics;
    private final Runnable onNews;

    QuarantineLog(RouterMetrics metrics, Runnable onNews) {
        this.metrics = metrics;
        this.onNews = onNews;
    }

    @Override
    public void quarantined(String parts, List<String> servers) {
        metrics.count("coltsfootquay_part_quarantines_total");
        LOG.warn("part_quarantined", "parts", parts, "crashes", servers.size(), "servers", String.join(",", servers));
    }

    @Override
    public void released(String parts) {
        LOG.info("part_released", "parts", parts);
    }

    @Override
    public void newsAdded() {
        onNews.run();
    }
}
