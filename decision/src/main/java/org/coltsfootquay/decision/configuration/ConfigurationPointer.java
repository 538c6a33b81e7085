package org.coltsfootquay.decision.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootquay.decision.store.RowValue;

/**
 * Content of the pointer row {@code config/current}.
 *
 * @param history newest versions, oldest first; the last one is current
 */
public record ConfigurationPointer(List<Entry> history) {

    /** Key of the row. */
    public static final String KEY = "config/current";

    /** Versions that the row keeps, so that a submission whose answer was lost can find itself. */
    private static final int HISTORY = 20;

    /** Copies the list. */
    public ConfigurationPointer {
        history = List.copyOf(history);
    }

    /**
     * One version.
     *
     * @param version version
     * @param object name of the object
     * @param submissionId text that identifies the submission
     */
    public record Entry(long version, String object, String submissionId) {}

    /**
     * Returns a pointer to no version.
     *
     * @return pointer without history
     */
    public static ConfigurationPointer none() {
        return new ConfigurationPointer(List.of());
    }

    /**
     * Reads a row.
     *
     * @param value fields of the row
     * @return pointer
     * @throws IllegalStateException if a field is missing or malformed
     */
    public static ConfigurationPointer of(RowValue value) {
        List<Entry> entries = new ArrayList<>();
        for (String text : value.text("history").split(",", -1)) {
            String[] parts = text.split(":", -1);
            if (parts.length != 3) {
                throw new IllegalStateException("history of " + KEY + " is malformed: " + text);
            }
            entries.add(new Entry(Long.parseLong(parts[0]), parts[1], parts[2]));
        }
        return new ConfigurationPointer(entries);
    }

    /**
     * Converts to the fields of a row.
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
     * @return version; 0 without one
     */
    public long version() {
        return current().map(Entry::version).orElse(0L);
    }

    /**
     * Returns the current entry.
     *
     * @return entry, or empty without one
     */
    public Optional<Entry> current() {
        return history.isEmpty() ? Optional.empty() : Optional.of(history.get(history.size() - 1));
    }

    /**
     * Returns a pointer to a further version.
     *
     * @param object name of the object
     * @param attempt text that identifies the submission
     * @return pointer with the next version
     */
    public ConfigurationPointer next(String object, String attempt) {
        List<Entry> entries = new ArrayList<>(history);
        entries.add(new Entry(version() + 1, object, attempt));
        return new ConfigurationPointer(entries.subList(Math.max(0, entries.size() - HISTORY), entries.size()));
    }

    /**
     * Finds the version that a submission created.
     *
     * @param attempt text that identifies the submission
     * @return version, or empty when the submission is not among the kept versions
     */
    public Optional<Long> versionOf(String attempt) {
        return history.stream()
                .filter(entry -> entry.submissionId().equals(attempt))
                .map(Entry::version)
                .findFirst();
    }
}
