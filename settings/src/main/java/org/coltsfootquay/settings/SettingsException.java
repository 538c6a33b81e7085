package org.coltsfootquay.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that a settings file is invalid; the message lists all errors in the file. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /**
     * Creates the exception.
     *
     * @param source name of the file, used in the message
     * @param problems errors, at least one
     */
    public SettingsException(String source, List<SettingsProblem> problems) {
        super(message(source, problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the errors in the file.
     *
     * @return errors in the order in which they were recorded
     */
    public List<SettingsProblem> problems() {
        return problems;
    }

    private static String message(String source, List<SettingsProblem> problems) {
        return problems.stream()
                .map(problem -> "  " + problem)
                .collect(Collectors.joining("\n", source + " has " + problems.size() + " mistake(s):\n", ""));
    }
}
