import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of headers, fields and calls, read from {@code wire.properties}. */
final class Wire {

    private static final Properties NAMES = load();

    static final String REQUEST_ID = name("requestId");
    static final String DEADLINE = name("deadline");
    static final String KEY = name("key");
    static final String MODEL = name("model");
    static final String TOKENS = name("tokens");
    static final String PROMPT_PARTS = name("promptParts");
    static final String SIGNATURE = name("signature");
    static final String API_KEYS = name("apiKeys");
    static final String CACHE_TOKENS = name("cacheTokens");
    static final String SETTINGS_VARIABLE = name("settingsVariable");
    static final String STORE_READ = name("storeRead");
    static final String STORE_FEED = name("storeFeed");
    static final String STORE_COMMIT = name("storeCommit");
    static final String RANGE_START = name("rangeStart");
    static final String EXPECTED_ROWS = name("expectedRows");

    private Wire() {}

    private static Properties load() {
        Properties names = new Properties();
        try (InputStream in = Wire.class.getResourceAsStream("/wire.properties")) {
            names.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return names;
    }

    private static String name(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalStateException("wire.properties has no name " + key);
        }
        return name;
    }
}
