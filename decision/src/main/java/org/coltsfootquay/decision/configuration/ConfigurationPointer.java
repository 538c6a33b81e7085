package org.coltsfootquay.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.store.RowValue;

/**
 * Content of the pointer row {@code config/current}.
 *
 * @param history most recent versions, oldest first; the last one is current
 */
public record ConfigurationPointer(List<Entry> history) {

    /** Key of the row. */
    public static final String KEY = "config/current";

    /** Number of versions kept in the row, so that a submission whose response was lost can look up its outcome. */
    private static final int MAX_HISTORY = 20;

    /** Copies the list. */
    public ConfigurationPointer {
        history = List.copyOf(history);
    }

    /**
     * Entry for one version.
     *
     * @param version version
     * @param object name of the configuration object
     * @param submissionId text that identifies the submission
     */
    public record Entry(long version, String object, String submissionId) {}

    /**
     * Returns a pointer without versions.
     *
     * @return pointer with an empty history
     */
    public static ConfigurationPointer none() {
        return new ConfigurationPointer(List.of());
    }

    /**
     * Parses the fields of a row.
     *
     * @param value fields of the row
     * @return parsed pointer
     * @throws IllegalStateException if a field is missing or malformed
     */
    public static ConfigurationPointer of(RowValue value) {
        List<Entry> entries = new ArrayList<>();
        for (String text : value.text("history").split(",", -1)) {
            String[] parts = text.split(":", -1);
            if (parts.length != 3) {
                throw new IllegalStateException(
                        "history entry of " + KEY + " must be version:object:submission but is " + text);
            }
            entries.add(new Entry(Long.parseLong(parts[0]), parts[1], parts[2]));
        }
        return new ConfigurationPointer(entries);
    }

    /**
     * Converts the pointer to the fields of a row.
     *
     * @return fields
     */
    public RowValue toValue() {
        StringBuilder text = new StringBuilder();
        for (Entry entry : history) {
            text.append(text.length() == 0 ? "" : ",")
                    .append(entry.version())
                    .append(':')
                    .append(entry.object())
                    .append(':')
                    .append(entry.submissionId());
        }
        return new RowValue(Map.of(
                "version", Long.toString(version()),
                "object", current().map(Entry::object).orElse(""),
                "history", text.toString()));
    }

    /**
     * Returns the current version.
     *
     * @return version, or 0 if there is none
     */
    public long version() {
        return current().map(Entry::version).orElse(0L);
    }

    /**
     * Returns the current entry.
     *
     * @return entry, or empty if there is none
     */
    public Optional<Entry> current() {
        return history.isEmpty() ? Optional.empty() : Optional.of(history.get(history.size() - 1));
    }

    /**
     * Returns a pointer extended by the next version.
     *
     * @param object name of the configuration object
     * @param submissionId text that identifies the submission
     * @return extended pointer
     */
    public ConfigurationPointer next(String object, String submissionId) {
        List<Entry> entries = new ArrayList<>(history);
        entries.add(new Entry(version() + 1, object, submissionId));
        return new ConfigurationPointer(entries.subList(Math.max(0, entries.size() - MAX_HISTORY), entries.size()));
    }

    /**
     * Returns the version that a submission created.
     *
     * @param submissionId text that identifies the submission
     * @return version, or empty if the kept history does not contain the submission
     */
    public Optional<Long> versionOf(String submissionId) {
        return history.stream()
                .filter(entry -> entry.submissionId().equals(submissionId))
                .map(Entry::version)
                .findFirst();
    }
}
