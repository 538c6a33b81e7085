import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: maps, lists, texts, numbers, booleans and null. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, field) -> fields.add(quote(key.toString()) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        return value instanceof String string ? quote(string) : String.valueOf(value);
    }

    private static String quote(String value) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ') {
                quoted.append(String.format("\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (skipSpace(); text.charAt(at) != '}'; skipSpace()) {
                String key = string();
                skipSpace();
                at++;
                map.put(key, value());
                skipComma();
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (skipSpace(); text.charAt(at) != ']'; skipSpace()) {
                list.add(value());
                skipComma();
            }
            at++;
            return list;
        }
        return c == '"' ? string() : literal();
    }

    private Object literal() {
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String literal = text.substring(start, at);
        return switch (literal) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(literal);
        };
    }

    private String string() {
        StringBuilder value = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            if (text.charAt(at) == '\\') {
                at++;
                char escaped = text.charAt(at);
                switch (escaped) {
                    case 'n' -> value.append('\n');
                    case 'r' -> value.append('\r');
                    case 't' -> value.append('\t');
                    case 'u' -> {
                        value.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                        at += 4;
                    }
                    default -> value.append(escaped);
                }
            } else {
                value.append(text.charAt(at));
            }
        }
        at++;
        return value.toString();
    }

    private void skipComma() {
        skipSpace();
        if (text.charAt(at) == ',') {
            at++;
        }
    }

    private void skipSpace() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
