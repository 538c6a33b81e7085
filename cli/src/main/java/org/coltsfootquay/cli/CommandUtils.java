package org.coltsfootquay.cli;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.coltsfootquay.decision.dispatch.PolicyName;
import org.coltsfootquay.settings.SettingsException;
import org.coltsfootquay.settings.SettingsObject;
import org.coltsfootquay.settings.SettingsReader;

/** Checks of options and arguments. */
public final class CommandUtils {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

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

    /**
     * Returns the order policy named by the option {@code --policy}.
     *
     * @param line parsed command line
     * @return policy; {@code fleet} when the option is absent
     * @throws UsageException if there is no such policy
     */
    public static PolicyName policy(CommandLine line) throws UsageException {
        String name = line.getOptionValue("policy", "fleet");
        try {
            return PolicyName.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw new UsageException("--policy is '" + name + "'; use fleet, per-router or fifo");
        }
    }

    /**
     * Writes a report as JSON to the file named by the option {@code --report}, if it is present.
     *
     * @param line parsed command line
     * @param report report
     * @throws CommandException if the file cannot be written
     */
    public static void writeReport(CommandLine line, Object report) throws CommandException {
        if (!line.hasOption("report")) {
            return;
        }
        try {
            Files.writeString(Path.of(line.getOptionValue("report")), MAPPER.writeValueAsString(report) + "\n");
        } catch (IOException e) {
            throw new CommandException("--report cannot be written (" + e + "); pass a writable file", e);
        }
    }

    /**
     * Reads the settings file named by the option {@code --settings}.
     *
     * @param line parsed command line
     * @param reader function from the root object of the file to the settings
     * @param <T> type of the settings
     * @return settings
     * @throws UsageException if the option is missing or the file has mistakes; lists all of them
     */
    public static <T> T settings(CommandLine line, Function<SettingsObject, T> reader) throws UsageException {
        try {
            return SettingsReader.readFile(Path.of(option(line, "settings")), reader);
        } catch (SettingsException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
