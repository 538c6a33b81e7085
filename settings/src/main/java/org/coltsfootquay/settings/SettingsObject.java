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
 * Object of a settings file.
 *
 * <p>Each accessor marks its field as known and records a mistake instead of throwing, so that reading goes on and all
 * mistakes are found. After a mistake it returns a neutral value, which the caller never sees, because
 * {@link SettingsReader} then fails.
 */
public final class SettingsObject {

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern ADDRESS = Pattern.compile("\\[?[0-9A-Fa-f:.]{2,45}\\]?:(\\d{1,5})");
    private static final int MAX_PORT = 65535;

    private final String path;
    private final JsonNode node;
    private final List<SettingsProblem> problems;
    private final Set<String> known = new LinkedHashSet<>();
    private final List<SettingsObject> children = new ArrayList<>();

    SettingsObject(String path, JsonNode node, List<SettingsProblem> problems) {
        this.path = path;
        this.node = node;
        this.problems = problems;
    }

    /**
     * Tells whether a field is present.
     *
     * @param field name of the field
     * @return true if it is present and not null
     */
    public boolean has(String field) {
        return node.hasNonNull(field);
    }

    /**
     * Reads a text.
     *
     * @param field name of the field
     * @return the text
     */
    public String text(String field) {
        JsonNode value = required(field, "a text in quotes");
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            problem(field, describe(value), "write a text in quotes that is not blank");
            return "";
        }
        return value.textValue();
    }

    /**
     * Reads a name: 1 to 63 lower-case letters, digits, dots, underscores or hyphens, starting with a letter or digit.
     *
     * @param field name of the field
     * @return the name
     */
    public String name(String field) {
        String value = text(field);
        if (!value.isEmpty() && !NAME.matcher(value).matches()) {
            problem(
                    field,
                    quote(value),
                    "use 1 to 63 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit");
        }
        return value.isEmpty() ? "invalid" : value;
    }

    /**
     * Reads an IP address with a port.
     *
     * @param field name of the field
     * @return the address, {@code host:port}
     */
    public String address(String field) {
        String value = text(field);
        if (value.isEmpty()) {
            return value;
        }
        var matcher = ADDRESS.matcher(value);
        if (!matcher.matches() || Integer.parseInt(matcher.group(1)) > MAX_PORT) {
            problem(field, quote(value), "write an IP address and a port up to 65535, for example \"127.0.0.1:8080\"");
        }
        return value;
    }

    /**
     * Reads a whole number.
     *
     * @param field name of the field
     * @param min smallest allowed value
     * @param max largest allowed value
     * @return the number
     */
    public long number(String field, long min, long max) {
        JsonNode value = required(field, "a whole number from " + min + " to " + max);
        return value == null ? min : checkedNumber(field, value, min, max);
    }

    /**
     * Reads an optional whole number.
     *
     * @param field name of the field
     * @param min smallest allowed value
     * @param max largest allowed value
     * @param defaultValue value when the field is absent
     * @return the number
     */
    public long number(String field, long min, long max, long defaultValue) {
        known.add(field);
        return has(field) ? checkedNumber(field, node.get(field), min, max) : defaultValue;
    }

    /**
     * Reads an optional decimal number.
     *
     * @param field name of the field
     * @param defaultValue value when the field is absent
     * @return the number
     */
    public double decimal(String field, double defaultValue) {
        known.add(field);
        if (!has(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        if (!value.isNumber()) {
            problem(field, describe(value), "write a number");
            return defaultValue;
        }
        return value.doubleValue();
    }

    /**
     * Reads an optional truth value.
     *
     * @param field name of the field
     * @param defaultValue value when the field is absent
     * @return the value
     */
    public boolean flag(String field, boolean defaultValue) {
        known.add(field);
        if (!has(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        if (!value.isBoolean()) {
            problem(field, describe(value), "write true or false");
        }
        return value.asBoolean();
    }

    /**
     * Reads an optional duration.
     *
     * @param field name of the field
     * @return the duration, or empty when the field is absent
     */
    public Optional<Duration> duration(String field) {
        known.add(field);
        if (!has(field)) {
            return Optional.empty();
        }
        JsonNode value = node.get(field);
        Optional<Duration> duration = value.isTextual() ? DurationUtils.parse(value.textValue()) : Optional.empty();
        if (duration.isEmpty() || duration.get().isZero()) {
            problem(
                    field,
                    describe(value),
                    "write a duration above zero with a unit, for example \"900ms\" or \"20s\"");
        }
        return duration;
    }

    /**
     * Reads an optional constant of an enumeration, written in lower case with underscores.
     *
     * @param field name of the field
     * @param type type of the enumeration
     * @param defaultValue value when the field is absent; null makes the field required
     * @param <E> type of the enumeration
     * @return the constant
     */
    public <E extends Enum<E>> E constant(String field, Class<E> type, E defaultValue) {
        known.add(field);
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
            problem(field, describe(node.get(field)), "write one of " + labels);
        }
        return defaultValue == null ? constants[0] : defaultValue;
    }

    /**
     * Reads an object.
     *
     * @param field name of the field
     * @param reader function from the object to its value
     * @param <T> type of the value
     * @return the value, or empty when the field is absent or not an object
     */
    public <T> Optional<T> object(String field, Function<SettingsObject, T> reader) {
        known.add(field);
        if (!has(field)) {
            return Optional.empty();
        }
        return child(field, node.get(field)).map(reader);
    }

    /**
     * Reads an optional list of objects.
     *
     * @param field name of the field
     * @param reader function from each object to its value
     * @param <T> type of the values
     * @return the values; empty when the field is absent
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
     * Reads an optional list of texts.
     *
     * @param field name of the field
     * @return the texts; empty when the field is absent
     */
    public List<String> texts(String field) {
        List<String> values = new ArrayList<>();
        JsonNode list = list(field);
        for (int i = 0; i < list.size(); i++) {
            JsonNode value = list.get(i);
            if (value.isTextual() && !value.textValue().isBlank()) {
                values.add(value.textValue());
            } else {
                problem(field + "[" + i + "]", describe(value), "write a text in quotes that is not blank");
            }
        }
        return values;
    }

    /**
     * Reads an optional object whose fields are names with whole numbers.
     *
     * @param field name of the field
     * @param min smallest allowed number
     * @param max largest allowed number
     * @return the numbers by name
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
     * Records a mistake in a field.
     *
     * @param field name of the field; empty for the object itself
     * @param found what was found
     * @param remedy what to write instead
     */
    public void problem(String field, String found, String remedy) {
        problems.add(new SettingsProblem(pathOf(field), found, remedy));
    }

    void rejectUnknownFields() {
        node.fieldNames().forEachRemaining(field -> {
            if (!known.contains(field)) {
                problem(field, "an unknown field", "remove it or use one of " + known);
            }
        });
        children.forEach(SettingsObject::rejectUnknownFields);
    }

    private JsonNode required(String field, String expected) {
        known.add(field);
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
            problem(field, describe(value), "write a whole number from " + min + " to " + max);
            return min;
        }
        return value.longValue();
    }

    private JsonNode list(String field) {
        known.add(field);
        if (has(field) && !node.get(field).isArray()) {
            problem(field, describe(node.get(field)), "write a list: [ ... ]");
        }
        return has(field) && node.get(field).isArray() ? node.get(field) : JsonNodeFactory.instance.arrayNode();
    }

    private Optional<SettingsObject> child(String field, JsonNode value) {
        if (!value.isObject()) {
            problem(field, describe(value), "write an object: { ... }");
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
