package org.coltsfootquay.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;

/** Checks of options and arguments. */
public final class CommandUtils {

    private CommandUtils() {}

    /**
     * Returns a required argument.
     *
     * @param line parsed command line
     * @param index position of the argument, from 0
     * @param name name of the argument in the usage line
     * @return the argument
     * @throws UsageException if it is missing
     */
    public static String argument(CommandLine line, int index, String name) throws UsageException {
        List<String> arguments = line.getArgList();
        if (arguments.size() <= index) {
            throw new UsageException("argument " + name + " is missing; add it after the command");
        }
        return arguments.get(index);
    }

    /**
     * Returns a required option.
     *
     * @param line parsed command line
     * @param option long name of the option
     * @return its value
     * @throws UsageException if it is missing
     */
    public static String option(CommandLine line, String option) throws UsageException {
        String value = line.getOptionValue(option);
        if (value == null) {
            throw new UsageException("option --" + option + " is missing; add it with a value");
        }
        return value;
    }

    /**
     * Returns an optional whole number.
     *
     * @param line parsed command line
     * @param option long name of the option
     * @param min smallest allowed value
     * @param max largest allowed value
     * @param defaultValue value when the option is absent
     * @return the number
     * @throws UsageException if it is not a whole number in the range
     */
    public static long number(CommandLine line, String option, long min, long max, long defaultValue)
            throws UsageException {
        String value = line.getOptionValue(option);
        if (value == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new UsageException(
                    "--" + option + " is '" + value + "'; use a whole number from " + min + " to " + max);
        }
        throw new UsageException("--" + option + " is " + value + "; use a whole number from " + min + " to " + max);
    }
}
