package org.coltsfootquay.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Parses a settings file, converts its root object with a given function and reports all errors together. */
public final class SettingsReader {

    /** Maximum file size in bytes; the configuration of a fleet of the target size has about 400 KB. */
    public static final int MAX_BYTES = 4 * 1024 * 1024;

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private SettingsReader() {}

    /**
     * Reads settings from a file.
     *
     * @param file path of the file, encoded in UTF-8
     * @param reader function that converts the root object to the settings; it may return null after recording an
     *     error
     * @param <T> type of the settings
     * @return the settings
     * @throws SettingsException if the file cannot be read, is too large or is invalid
     */
    public static <T> T readFile(Path file, Function<SettingsObject, T> reader) throws SettingsException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw failure(
                        file.toString(),
                        Files.size(file) + " bytes",
                        "reduce the file to at most " + MAX_BYTES + " bytes");
            }
            return read(file.toString(), Files.readString(file, StandardCharsets.UTF_8), reader);
        } catch (IOException e) {
            throw failure(file.toString(), "an unreadable file (" + e + ")", "pass the path of a readable UTF-8 file");
        }
    }

    /**
     * Reads settings from a string.
     *
     * @param source name of the source, used in error messages
     * @param text JSON, in which Java-style comments are allowed
     * @param reader function that converts the root object to the settings; it may return null after recording an
     *     error
     * @param <T> type of the settings
     * @return the settings
     * @throws SettingsException if the text is invalid
     */
    public static <T> T read(String source, String text, Function<SettingsObject, T> reader) throws SettingsException {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw failure(
                    source,
                    "invalid JSON: " + e.getOriginalMessage() + position(e),
                    "correct the syntax at this position");
        }
        if (root == null || !root.isObject()) {
            throw failure(source, "no JSON object", "use a JSON object as the root: { ... }");
        }
        List<SettingsProblem> problems = new ArrayList<>();
        SettingsObject object = new SettingsObject("", root, problems);
        T result = reader.apply(object);
        object.rejectUnknownFields();
        if (!problems.isEmpty()) {
            throw new SettingsException(source, problems);
        }
        return result;
    }

    private static String position(JsonProcessingException e) {
        return e.getLocation() == null
                ? ""
                : " at line " + e.getLocation().getLineNr() + ", column "
                        + e.getLocation().getColumnNr();
    }

    private static SettingsException failure(String source, String found, String remedy) {
        return new SettingsException(source, List.of(new SettingsProblem("$", found, remedy)));
    }
}
