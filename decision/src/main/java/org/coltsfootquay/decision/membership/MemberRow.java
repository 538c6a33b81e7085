package org.coltsfootquay.decision.membership;

import java.util.Map;
import org.coltsfootquay.decision.common.RegionName;
import org.coltsfootquay.decision.common.RouterId;
import org.coltsfootquay.decision.common.ZoneName;
import org.coltsfootquay.decision.store.Row;
import org.coltsfootquay.decision.store.RowValue;

/**
 * Content of a row {@code router/<id>}.
 *
 * @param member router as a member of the fleet
 * @param instance random string that distinguishes two processes with the same identifier
 * @param seenRevision join revision of the newest member of the region that the router has read
 * @param releasedRevision store revision up to which the router has stopped using all servers that others claimed
 */
public record MemberRow(Member member, String instance, long seenRevision, long releasedRevision) {

    /** Prefix of the keys of membership rows. */
    public static final String PREFIX = "router/";

    /**
     * Returns the row key of a router.
     *
     * @param id identifier
     * @return key
     */
    public static String key(RouterId id) {
        return PREFIX + id.value();
    }

    /**
     * Parses a row.
     *
     * @param row row whose key starts with {@link #PREFIX}
     * @return parsed content
     * @throws IllegalStateException if a field is missing or malformed
     */
    public static MemberRow of(Row row) {
        RowValue value = row.value();
        long joined = Long.parseLong(value.optionalText("joinRevision").orElse("0"));
        Member member = new Member(
                new RouterId(row.key().substring(PREFIX.length())),
                value.number("incarnation"),
                new ZoneName(value.text("zone")),
                new RegionName(value.text("region")),
                value.text("callerAddress"),
                value.text("peerAddress"),
                value.text("state").equals("leaving"),
                joined == 0 ? row.revision() : joined);
        return new MemberRow(
                member,
                value.text("instance"),
                Long.parseLong(value.optionalText("seenRevision").orElse("0")),
                Long.parseLong(value.optionalText("releasedRevision").orElse("0")));
    }

    /**
     * Converts the content to the fields of a row.
     *
     * @return fields
     */
    public RowValue toValue() {
        return new RowValue(Map.of(
                "incarnation", Long.toString(member.incarnation()),
                "zone", member.zone().value(),
                "region", member.region().value(),
                "callerAddress", member.callerAddress(),
                "peerAddress", member.peerAddress(),
                "state", member.leaving() ? "leaving" : "running",
                "joinRevision", Long.toString(member.joinRevision()),
                "instance", instance,
                "seenRevision", Long.toString(seenRevision),
                "releasedRevision", Long.toString(releasedRevision)));
    }
}
