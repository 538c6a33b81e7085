package org.coltsfootquay.decision.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ServerName;
import org.coltsfootquay.decision.store.RowValue;

/**
 * Content of a row {@code server/<name>}.
 *
 * @param holder owning router, or empty if the server was released
 * @param incarnation incarnation of the owning router
 * @param fencingNumber fencing number, incremented on each change of the holder
 * @param handedOver whether the previous holder handed over the server, so that the new holder knows its state
 * @param lapsed earlier holders that may still use a share of the server's limit
 */
public record ServerRow(
        Optional<RouterId> holder,
        long incarnation,
        long fencingNumber,
        boolean handedOver,
        List<LapsedHolder> lapsed) {

    /** Prefix of the keys of server rows. */
    public static final String PREFIX = "server/";

    /** Copies the list. */
    public ServerRow {
        lapsed = List.copyOf(lapsed);
    }

    /**
     * Earlier holder whose lease expired.
     *
     * @param router router
     * @param incarnation incarnation that held the server
     * @param share share that it may still use
     */
    public record LapsedHolder(RouterId router, long incarnation, double share) {}

    /**
     * Returns the row key of a server.
     *
     * @param server server
     * @return key
     */
    public static String key(ServerName server) {
        return PREFIX + server.value();
    }

    /**
     * Returns the share of the holder: the part of the limit that no lapsed holder keeps.
     *
     * @return share, greater than 0 and at most 1
     */
    public double share() {
        return 1 - lapsed.stream().mapToDouble(LapsedHolder::share).sum();
    }

    /**
     * Tests whether an incarnation of a router holds the server.
     *
     * @param router router
     * @param ofIncarnation incarnation
     * @return true if that incarnation is the holder
     */
    public boolean heldBy(RouterId router, long ofIncarnation) {
        return holder.isPresent() && holder.get().equals(router) && incarnation == ofIncarnation;
    }

    /**
     * Parses the fields of a row.
     *
     * @param value fields of the row
     * @return parsed content
     * @throws IllegalStateException if a field is missing or malformed
     */
    public static ServerRow of(RowValue value) {
        List<LapsedHolder> lapsed = new ArrayList<>();
        String text = value.text("lapsed");
        if (!text.isEmpty()) {
            for (String entry : text.split(",", -1)) {
                String[] parts = entry.split("\\|", -1);
                if (parts.length != 3) {
                    throw new IllegalStateException("lapsed holder must be router|incarnation|share but is " + entry);
                }
                lapsed.add(new LapsedHolder(
                        new RouterId(parts[0]), Long.parseLong(parts[1]), Double.parseDouble(parts[2])));
            }
        }
        String holder = value.text("holder");
        return new ServerRow(
                holder.isEmpty() ? Optional.empty() : Optional.of(new RouterId(holder)),
                value.number("incarnation"),
                value.number("fencing"),
                Boolean.parseBoolean(value.text("handedOver")),
                lapsed);
    }

    /**
     * Converts the content to the fields of a row.
     *
     * @return fields
     */
    public RowValue toValue() {
        StringBuilder text = new StringBuilder();
        for (LapsedHolder entry : lapsed) {
            text.append(text.length() == 0 ? "" : ",")
                    .append(entry.router())
                    .append('|')
                    .append(entry.incarnation())
                    .append('|')
                    .append(entry.share());
        }
        return new RowValue(Map.of(
                "holder", holder.map(RouterId::value).orElse(""),
                "incarnation", Long.toString(incarnation),
                "fencing", Long.toString(fencingNumber),
                "handedOver", Boolean.toString(handedOver),
                "lapsed", text.toString()));
    }
}
