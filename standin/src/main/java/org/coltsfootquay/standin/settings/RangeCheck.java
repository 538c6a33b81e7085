package org.coltsfootquay.standin.settings;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootquay.settings.SettingsProblem;

/** Check of the components of a settings record that reports all mistakes at once. */
public final class RangeCheck {

    private final List<SettingsProblem> problems = new ArrayList<>();

    /**
     * Requires a number to be in a range.
     *
     * @param component name of the component
     * @param value number found
     * @param least least number allowed
     * @param most greatest number allowed
     * @return this check
     */
    public RangeCheck range(String component, Number value, double least, double most) {
        double found = value.doubleValue();
        if (!(found >= least && found <= most)) {
            problems.add(new SettingsProblem(
                    component, value.toString(), "write a number from " + text(least) + " to " + text(most)));
        }
        return this;
    }

    /**
     * Requires a value to be present.
     *
     * @param component name of the component
     * @param value value found, or null
     * @param remedy what to write instead
     * @return this check
     */
    public RangeCheck present(String component, Object value, String remedy) {
        if (value == null) {
            problems.add(new SettingsProblem(component, "nothing", remedy));
        }
        return this;
    }

    /**
     * Ends the check.
     *
     * @throws InvalidSettingsException if there is a mistake
     */
    public void throwIfAny() {
        if (!problems.isEmpty()) {
            throw new InvalidSettingsException(problems);
        }
    }

    private static String text(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
