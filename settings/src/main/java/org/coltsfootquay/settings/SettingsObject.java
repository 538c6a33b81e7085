package org.coltsfootquay.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Typed access to the fields of a JSON object in a settings file.
 *
 * <p>Each accessor registers its field as known and records an error instead of throwing an exception, so that all
 * errors in a file are found in one pass. After an error, the accessor returns a placeholder or the invalid value; it
 * never reaches the caller of {@link SettingsReader}, which throws an exception if any error was recorded.
 */
public final class SettingsObject {

    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern ADDRESS_PATTERN = Pattern.compile("\\[?[0-9A-Fa-f:.]{2,45}\\]?:(\\d{1,5})");
    private static final int MAX_PORT = 65535;

    private final String path;
    private final JsonNode node;
    private final List<SettingsProblem> problems;
    private final Set<String> knownFields = new LinkedHashSet<>();
    private final List<SettingsObject> children = new ArrayList<>();

    SettingsObject(String path, JsonNode node, List<SettingsProblem> problems) {
        this.path = path;
        this.node = node;
        this.problems = problems;
    }

    /**
     * Checks whether a field is present.
     *
     * @param field name of the field
     * @return true if the field is present and not null
     */
    public boolean has(String field) {
        return node.hasNonNull(field);
    }

    /**
     * Reads a required, non-blank string.
     *
     * @param field name of the field
     * @return the string, or an empty string after an error
     */
    public String text(String field) {
        JsonNode value = required(field, "a string in quotes");
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            problem(field, describe(value), "use a non-blank string in quotes");
            return "";
        }
        return value.textValue();
    }

    /**
     * Reads a required name: 1 to 63 lower-case letters, digits, dots, underscores or hyphens, starting with a letter
     * or digit.
     *
     * @param field name of the field
     * @return the name
     */
    public String name(String field) {
        String value = text(field);
        if (!value.isEmpty() && !NAME_PATTERN.matcher(value).matches()) {
            problem(
                    field,
                    quote(value),
                    "use 1 to 63 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit");
        }
        return value.isEmpty() ? "invalid" : value;
    }

    /**
     * Reads a required IP address with a port.
     *
     * @param field name of the field
     * @return the address, {@code host:port}
     */
    public String address(String field) {
        String value = text(field);
        if (value.isEmpty()) {
            return value;
        }
        var matcher = ADDRESS_PATTERN.matcher(value);
        if (!matcher.matches() || Integer.parseInt(matcher.group(1)) > MAX_PORT) {
            problem(field, quote(value), "use an IP address and a port up to 65535, for example \"127.0.0.1:8080\"");
        }
        return value;
    }

    /**
     * Reads a required integer.
     *
     * @param field name of the field
     * @param min minimum value, inclusive
     * @param max maximum value, inclusive
     * @return the number
     */
    public long number(String field, long min, long max) {
        JsonNode value = required(field, "an integer from " + min + " to " + max);
        return value == null ? min : checkedNumber(field, value, min, max);
    }

    /**
     * Reads an optional integer.
     *
     * @param field name of the field
     * @param min minimum value, inclusive
     * @param max maximum value, inclusive
     * @param defaultValue value if the field is absent or null
     * @return the number
     */
    public long number(String field, long min, long max, long defaultValue) {
        knownFields.add(field);
        return has(field) ? checkedNumber(field, node.get(field), min, max) : defaultValue;
    }

    /**
     * Reads an optional decimal number.
     *
     * @param field name of the field
     * @param defaultValue value if the field is absent or null
     * @return the number
     */
    public double decimal(String field, double defaultValue) {
        knownFields.add(field);
        if (!has(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        if (!value.isNumber()) {
            problem(field, describe(value), "use a number");
            return defaultValue;
        }
        return value.doubleValue();
    }

    /**
     * Reads an optional Boolean value.
     *
     * @param field name of the field
     * @param defaultValue value if the field is absent or null
     * @return the value
     */
    public boolean flag(String field, boolean defaultValue) {
        knownFields.add(field);
        if (!has(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        if (!value.isBoolean()) {
            problem(field, describe(value), "use true or false");
        }
        return value.asBoolean();
    }

    /**
     * Reads an optional duration greater than zero.
     *
     * @param field name of the field
     * @return the duration, or empty if the field is absent
     */
    public Optional<Duration> duration(String field) {
        knownFields.add(field);
        if (!has(field)) {
            return Optional.empty();
        }
        JsonNode value = node.get(field);
        Optional<Duration> duration = value.isTextual() ? DurationUtils.parse(value.textValue()) : Optional.empty();
        if (duration.isEmpty() || duration.get().isZero()) {
            problem(
                    field,
                    describe(value),
                    "use a duration greater than zero with a unit, for example \"900ms\" or \"20s\"");
        }
        return duration;
    }

    /**
     * Reads an enum constant, written in lower case with underscores.
     *
     * @param field name of the field
     * @param type enum class
     * @param defaultValue value if the field is absent or null; null makes the field required
     * @param <E> enum type
     * @return the constant
     */
    public <E extends Enum<E>> E constant(String field, Class<E> type, E defaultValue) {
        knownFields.add(field);
        E[] constants = type.getEnumConstants();
        List<String> labels = new ArrayList<>();
        for (E constant : constants) {
            String label = constant.name().toLowerCase(Locale.ROOT);
            labels.add(label);
            if (has(field) && label.equals(node.get(field).textValue())) {
                return constant;
            }
        }
        if (has(field) || defaultValue == null) {
            problem(field, describe(node.get(field)), "use one of " + labels);
        }
        return defaultValue == null ? constants[0] : defaultValue;
    }

    /**
     * Reads an optional object.
     *
     * @param field name of the field
     * @param reader function that converts the object
     * @param <T> type of the converted value
     * @return the converted value, or empty if the field is absent or not an object
     */
    public <T> Optional<T> object(String field, Function<SettingsObject, T> reader) {
        knownFields.add(field);
        if (!has(field)) {
            return Optional.empty();
        }
        return child(field, node.get(field)).map(reader);
    }

    /**
     * Reads an optional list of objects.
     *
     * @param field name of the field
     * @param reader function that converts each object
     * @param <T> type of the converted values
     * @return the converted values in the order of the list; empty if the field is absent
     */
    public <T> List<T> objects(String field, Function<SettingsObject, T> reader) {
        List<T> values = new ArrayList<>();
        JsonNode list = list(field);
        for (int i = 0; i < list.size(); i++) {
            child(field + "[" + i + "]", list.get(i)).map(reader).ifPresent(values::add);
        }
        return values;
    }

    /**
     * Reads an optional list of non-blank strings.
     *
     * @param field name of the field
     * @return the strings; empty if the field is absent
     */
    public List<String> texts(String field) {
        List<String> values = new ArrayList<>();
        JsonNode list = list(field);
        for (int i = 0; i < list.size(); i++) {
            JsonNode value = list.get(i);
            if (value.isTextual() && !value.textValue().isBlank()) {
                values.add(value.textValue());
            } else {
                problem(field + "[" + i + "]", describe(value), "use a non-blank string in quotes");
            }
        }
        return values;
    }

    /**
     * Reads an optional object that maps names to integers.
     *
     * @param field name of the field
     * @param min minimum value, inclusive
     * @param max maximum value, inclusive
     * @return the integers by name; empty if the field is absent
     */
    public Map<String, Long> numbersByName(String field, long min, long max) {
        Map<String, Long> numbers = new LinkedHashMap<>();
        object(field, child -> {
            child.node.fieldNames().forEachRemaining(name -> numbers.put(name, child.number(name, min, max)));
            return child;
        });
        return numbers;
    }

    /**
     * Records an error in a field.
     *
     * @param field name of the field; empty for the object itself
     * @param found description of the invalid content
     * @param remedy instruction for correcting the error
     */
    public void problem(String field, String found, String remedy) {
        problems.add(new SettingsProblem(pathOf(field), found, remedy));
    }

    void rejectUnknownFields() {
        node.fieldNames().forEachRemaining(field -> {
            if (!knownFields.contains(field)) {
                problem(field, "an unknown field", "remove it or use one of " + knownFields);
            }
        });
        children.forEach(SettingsObject::rejectUnknownFields);
    }

    private JsonNode required(String field, String expected) {
        knownFields.add(field);
        if (!has(field)) {
            problem(field, "nothing", "add the field with " + expected);
            return null;
        }
        return node.get(field);
    }

    private long checkedNumber(String field, JsonNode value, long min, long max) {
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.longValue() < min
                || value.longValue() > max) {
            problem(field, describe(value), "use an integer from " + min + " to " + max);
            return min;
        }
        return value.longValue();
    }

    private JsonNode list(String field) {
        knownFields.add(field);
        if (has(field) && !node.get(field).isArray()) {
            problem(field, describe(node.get(field)), "use a list: [ ... ]");
        }
        return has(field) && node.get(field).isArray() ? node.get(field) : JsonNodeFactory.instance.arrayNode();
    }

    private Optional<SettingsObject> child(String field, JsonNode value) {
        if (!value.isObject()) {
            problem(field, describe(value), "use an object: { ... }");
            return Optional.empty();
        }
        SettingsObject child = new SettingsObject(pathOf(field), value, problems);
        children.add(child);
        return Optional.of(child);
    }

    private String pathOf(String field) {
        if (path.isEmpty()) {
            return field.isEmpty() ? "$" : field;
        }
        return field.isEmpty() ? path : path + "." + field;
    }

    private static String describe(JsonNode value) {
        if (value == null || value.isNull()) {
            return "nothing";
        }
        String text = value.toString();
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }

    private static String quote(String value) {
        return '"' + value + '"';
    }
}
