package org.coltsfootquay.cli.timeline;

import java.util.List;
import java.util.TreeSet;
import org.coltsfootquay.router.timeline.TimelineEntry;

/** Prints a merged time line as one HTML page without scripts or outside files. */
final class HtmlTimelinePrinter implements TimelinePrinter {

    private static final String STYLE = "body{font:13px sans-serif;margin:1em}table{border-collapse:collapse}"
            + "th,td{border:1px solid #ccc;padding:2px 6px;vertical-align:top;text-align:left}"
            + "th{position:sticky;top:0;background:#eee}"
            + ".request_refused,.request_failed,.lease_lost,.invariant_violated{background:#fdd}"
            + ".request_completed{background:#dfd}.kind{font-weight:bold}";

    @Override
    public String print(MergedTimeline timeline) {
        List<String> processes =
                List.copyOf(new TreeSet<>(timeline.offsetsMicros().keySet()));
        StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>Time line</title><style>")
                .append(STYLE)
                .append("</style></head><body>\n<h1>Time line</h1>\n<p>")
                .append(timeline.moments().size())
                .append(" events; times in UTC by the clock of the first process of each group.</p>\n")
                .append("<table>\n<tr><th>time</th>");
        processes.forEach(process -> page.append("<th>")
                .append(escape(process))
                .append("<br>offset ")
                .append(timeline.offsetsMicros().get(process))
                .append(" µs</th>"));
        page.append("</tr>\n");
        timeline.moments().forEach(moment -> row(page, moment, processes));
        return page.append("</table></body></html>\n").toString();
    }

    private static void row(StringBuilder page, MergedTimeline.Moment moment, List<String> processes) {
        TimelineEntry entry = moment.entry();
        String kind = entry.event().kind().label();
        page.append("<tr><td>").append(TimelinePrinter.clock(moment.micros())).append("</td>");
        for (String process : processes) {
            if (process.equals(entry.process())) {
                page.append("<td class=\"")
                        .append(kind)
                        .append("\"><span class=\"kind\">")
                        .append(kind);
                page.append("</span><br>")
                        .append(escape(TimelinePrinter.fields(entry)))
                        .append("</td>");
            } else {
                page.append("<td></td>");
            }
        }
        page.append("</tr>\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
