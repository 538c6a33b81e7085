package org.coltsfootquay.standin.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Locale;
import org.coltsfootquay.settings.SettingsObject;
import org.coltsfootquay.settings.SettingsProblem;
import org.coltsfootquay.standin.http.JsonUtils;

/**
 * JSON form of settings records whose components are whole numbers, decimal numbers, truth values or enums.
 *
 * <p>A field has the name of its component; a field that is absent keeps its default.
 */
public final class SettingsJson {

    private SettingsJson() {}

    /**
     * Reads settings; mistakes are recorded in the object.
     *
     * @param object object of a settings file or of a request
     * @param defaults values of the fields that are absent
     * @param <R> type of the record
     * @return the settings; the defaults when the object has a mistake
     */
    public static <R extends Record> R read(SettingsObject object, R defaults) {
        RecordComponent[] components = defaults.getClass().getRecordComponents();
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            values[i] = value(object, components[i], valueOf(components[i], defaults));
        }
        try {
            return create(defaults, components, values);
        } catch (InvalidSettingsException e) {
            for (SettingsProblem problem : e.problems()) {
                object.problem(problem.path(), problem.found(), problem.remedy());
            }
            return defaults;
        }
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
                node.put(component.getName(), constant.name().toLowerCase(Locale.ROOT));
            } else {
                node.putPOJO(component.getName(), value);
            }
        }
        return node;
    }

    private static Object value(SettingsObject object, RecordComponent component, Object fallback) {
        String field = component.getName();
        Class<?> type = component.getType();
        if (type == long.class) {
            return object.number(field, Long.MIN_VALUE, Long.MAX_VALUE, (Long) fallback);
        }
        if (type == int.class) {
            return (int) object.number(field, Integer.MIN_VALUE, Integer.MAX_VALUE, (Integer) fallback);
        }
        if (type == double.class) {
            return object.decimal(field, (Double) fallback);
        }
        if (type == boolean.class) {
            return object.flag(field, (Boolean) fallback);
        }
        if (type.isEnum()) {
            return constant(object, field, (Enum<?>) fallback);
        }
        throw new IllegalStateException("a component of type " + type + " has no JSON form");
    }

    @SuppressWarnings("unchecked")
    private static <E extends Enum<E>> E constant(SettingsObject object, String field, Enum<?> fallback) {
        return object.constant(field, (Class<E>) fallback.getDeclaringClass(), (E) fallback);
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
            if (e.getCause() instanceof InvalidSettingsException invalid) {
                throw invalid;
            }
            throw new IllegalStateException("cannot create " + sample.getClass(), e);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create " + sample.getClass() + "; it must be public", e);
        }
    }
}
