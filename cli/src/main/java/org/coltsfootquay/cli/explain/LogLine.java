package org.coltsfootquay.cli.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a router's log.
 *
 * @param fields names and values in their order
 */
record LogLine(Map<String, String> fields) {

    private static final Pattern FIELD = Pattern.compile("([A-Za-z][A-Za-z0-9_]*)=(\"(?:[^\"\\\\]|\\\\.)*\"|[^ ]*)");

    /** Reads a line; text before the first field is ignored, since tools that collect logs put names there. */
    static Optional<LogLine> parse(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(line);
        while (matcher.find()) {
            String value = matcher.group(2);
            if (value.startsWith("\"")) {
                value = value.substring(1, value.length() - 1)
                        .replace("\\\"", "\"")
                        .replace("\\\\", "\\");
            }
            fields.putIfAbsent(matcher.group(1), value);
        }
        return fields.containsKey("event") ? Optional.of(new LogLine(fields)) : Optional.empty();
    }

    String event() {
        return fields.get("event");
    }

    /** Returns a field, or an empty text. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
