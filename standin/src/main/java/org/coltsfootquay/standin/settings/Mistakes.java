package org.coltsfootquay.standin.settings;

import java.util.ArrayList;
import java.util.List;

/** Collects the mistakes in a settings record, so that all can be reported at once. */
public final class Mistakes {

    private final List<Mistake> mistakes = new ArrayList<>();

    /**
     * Adds a mistake.
     *
     * @param path path of the field
     * @param found what was found there
     * @param remedy what to write instead
     * @return this collector
     */
    public Mistakes add(String path, Object found, String remedy) {
        mistakes.add(new Mistake(path, String.valueOf(found), remedy));
        return this;
    }

    /**
     * Adds a mistake unless the number is in a range.
     *
     * @param field name of the field
     * @param value number found
     * @param least least number allowed
     * @param most greatest number allowed
     * @return this collector
     */
    public Mistakes range(String field, Number value, double least, double most) {
        double found = value.doubleValue();
        if (!(found >= least && found <= most)) {
            add("$." + field, value, "use a number from " + number(least) + " to " + number(most));
        }
        return this;
    }

    /**
     * Adds all mistakes of another report.
     *
     * @param report report
     * @return this collector
     */
    public Mistakes addAll(SettingsException report) {
        mistakes.addAll(report.mistakes());
        return this;
    }

    /**
     * Ends the check.
     *
     * @throws SettingsException if there is a mistake
     */
    public void throwIfAny() {
        if (!mistakes.isEmpty()) {
            throw new SettingsException(mistakes);
        }
    }

    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
