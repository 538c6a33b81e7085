package org.coltsfootquay.standin.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Reports all mistakes in settings at once. */
public final class SettingsException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    private final transient List<Mistake> mistakes;

    /**
     * Creates a report.
     *
     * @param mistakes all mistakes, at least one
     */
    public SettingsException(List<Mistake> mistakes) {
        super(mistakes.stream().map(Mistake::toString).collect(Collectors.joining("\n")));
        this.mistakes = List.copyOf(mistakes);
    }

    /**
     * Returns the mistakes.
     *
     * @return all mistakes that were found
     */
    public List<Mistake> mistakes() {
        return mistakes;
    }
}
