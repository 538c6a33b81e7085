package org.coltsfootquay.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that a settings file has mistakes; the message lists all of them. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /**
     * Creates the exception.
     *
     * @param source name of the file
     * @param problems mistakes, at least one
     */
    public SettingsException(String source, List<SettingsProblem> problems) {
        super(message(source, problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the mistakes.
     *
     * @return mistakes in the order of the file's fields
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
