package org.coltsfootquay.standin.settings;

import java.util.List;
import java.util.stream.Collectors;
import org.coltsfootquay.settings.SettingsProblem;

/** Signals that the values of a settings record are not allowed; names all mistakes at once. */
public final class InvalidSettingsException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /**
     * Creates the exception.
     *
     * @param problems mistakes, at least one; the path of each is the name of a component
     */
    public InvalidSettingsException(List<SettingsProblem> problems) {
        super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the mistakes.
     *
     * @return all mistakes that were found
     */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
