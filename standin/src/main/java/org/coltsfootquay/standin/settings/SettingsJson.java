package org.coltsfootquay.standin.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootquay.standin.http.JsonUtils;

/**
 * JSON form of settings records whose components are whole numbers, decimal numbers, booleans, texts or enums.
 *
 * <p>A field has the name of its component; a field that is absent keeps its default.
 */
public final class SettingsJson {

    private SettingsJson() {}

    /**
     * Reads settings.
     *
     * @param json JSON object
     * @param defaults values of the fields that are absent
     * @param <R> type of the record
     * @return the settings
     * @throws SettingsException with all mistakes: unknown fields, wrong types and values that the record rejects
     */
    public static <R extends Record> R read(JsonNode json, R defaults) {
        Mistakes mistakes = new Mistakes();
        if (!json.isObject()) {
            mistakes.add("$", json.isMissingNode() ? "nothing" : json, "write a JSON object")
                    .throwIfAny();
        }
        RecordComponent[] components = defaults.getClass().getRecordComponents();
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            values[i] = value(json, components[i], valueOf(components[i], defaults), mistakes);
        }
        rejectUnknown(json, components, mistakes);
        R result = null;
        try {
            result = create(defaults, components, values);
        } catch (SettingsException e) {
            mistakes.addAll(e);
        }
        mistakes.throwIfAny();
        return result;
    }

    /**
     * Writes settings.
     *
     * @param settings settings
     * @return JSON object with every component
     */
    public static ObjectNode write(Record settings) {
        ObjectNode node = JsonUtils.object();
        for (RecordComponent component : settings.getClass().getRecordComponents()) {
            Object value = valueOf(component, settings);
            if (value instanceof Enum<?> constant) {
                node.put(component.getName(), jsonName(constant));
            } else {
                node.putPOJO(component.getName(), value);
            }
        }
        return node;
    }

    private static Object value(JsonNode json, RecordComponent component, Object fallback, Mistakes mistakes) {
        JsonNode found = json.get(component.getName());
        if (found == null) {
            return fallback;
        }
        Class<?> type = component.getType();
        String path = "$." + component.getName();
        if (type == long.class && found.canConvertToExactIntegral() && found.canConvertToLong()) {
            return found.longValue();
        }
        if (type == int.class && found.canConvertToExactIntegral() && found.canConvertToInt()) {
            return found.intValue();
        }
        if (type == double.class && found.isNumber()) {
            return found.doubleValue();
        }
        if (type == boolean.class && found.isBoolean()) {
            return found.booleanValue();
        }
        if (type == String.class && found.isTextual()) {
            return found.textValue();
        }
        if (type.isEnum()) {
            for (Object constant : type.getEnumConstants()) {
                if (jsonName((Enum<?>) constant).equals(found.asText())) {
                    return constant;
                }
            }
        }
        mistakes.add(path, found, "use " + expected(type));
        return fallback;
    }

    private static String expected(Class<?> type) {
        if (type == long.class || type == int.class) {
            return "a whole number";
        }
        if (type == double.class) {
            return "a number";
        }
        if (type == boolean.class) {
            return "true or false";
        }
        if (type.isEnum()) {
            return Arrays.stream(type.getEnumConstants())
                    .map(constant -> "\"" + jsonName((Enum<?>) constant) + "\"")
                    .collect(Collectors.joining(", ", "one of ", ""));
        }
        return "a text";
    }

    private static String jsonName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void rejectUnknown(JsonNode json, RecordComponent[] components, Mistakes mistakes) {
        Set<String> known =
                Arrays.stream(components).map(RecordComponent::getName).collect(Collectors.toSet());
        for (Iterator<String> names = json.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                mistakes.add(
                        "$." + name,
                        "an unknown field",
                        "remove it; known fields are "
                                + Arrays.stream(components)
                                        .map(RecordComponent::getName)
                                        .collect(Collectors.joining(", ")));
            }
        }
    }

    private static Object valueOf(RecordComponent component, Record settings) {
        try {
            return component.getAccessor().invoke(settings);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot read " + component + "; the record must be public", e);
        }
    }

    private static <R extends Record> R create(R sample, RecordComponent[] components, Object[] values) {
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            @SuppressWarnings("unchecked")
            R result = (R) sample.getClass().getDeclaredConstructor(types).newInstance(values);
            return result;
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof SettingsException mistakes) {
                throw mistakes;
            }
            throw new IllegalStateException("cannot create " + sample.getClass(), e);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create " + sample.getClass() + "; it must be public", e);
        }
    }
}
